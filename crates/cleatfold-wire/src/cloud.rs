//! The cloud's calls.

use crate::ids::{MachineId, TypeId, ZoneId};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: TypeId,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "spotPrice")]
    pub spot_price: f64,
    #[serde(rename = "bootS")]
    pub boot_s: f64,
    #[serde(rename = "sites")]
    pub zones: Vec<ZoneId>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "gabaritsMachine")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    #[serde(rename = "demandeLocation")]
    pub request: String,
    #[serde(rename = "gabaritMachine")]
    pub machine_type: TypeId,
    #[serde(rename = "site")]
    pub zone: ZoneId,
    #[serde(rename = "pretees")]
    pub spot: bool,
    pub count: u32,
}

/// The machines rented, or to be deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    #[serde(rename = "ruches")]
    pub machines: Vec<MachineId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    #[serde(rename = "starting")]
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Where its worker takes orders.
    #[serde(default)]
    pub endpoint: Option<String>,
    #[serde(rename = "gabaritMachine")]
    pub machine_type: TypeId,
    #[serde(rename = "site")]
    pub zone: ZoneId,
    #[serde(rename = "pretees")]
    pub spot: bool,
    #[serde(rename = "etat")]
    pub state: MachineState,
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "ruches")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
