//! Plain models of the state service, a worker and the cloud, as the protocol describes them.
//! Pure: they are given the time. For tests and first runs only.

pub mod cloud;
pub mod images;
pub mod member;
pub mod store;
pub mod worker;
