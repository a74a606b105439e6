//! A team's namespace (its workspace, as the operators say): its owner, its history, its log of
//! losses, and its questions.

pub(crate) mod loss_logs;
mod losses;
pub(crate) mod team_query_state;
mod team_queries;
pub(crate) mod workspace_state;
mod workspaces;
