//! Per-team state, called a workspace in the operators' documentation: its ownership, the history
//! of its ended jobs, its log of lost task starts, and the team's queries about all of these.

pub(crate) mod loss_logs;
mod losses;
mod team_queries;
pub(crate) mod team_query_state;
pub(crate) mod workspace_state;
mod workspaces;
