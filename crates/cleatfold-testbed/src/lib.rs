//! The testbed: a simulated region that tests and measurements share, and a real one on
//! loopback. Not part of the product.

pub mod capacity;
pub mod controllers;
pub mod days;
pub mod elastic;
pub mod history;
pub mod images;
pub mod pairs;
pub mod region;
pub mod scale;
pub mod team;
pub mod world;
