//! Requests and responses of the cloud API.

use crate::ids::{MachineId, TypeId, ZoneId};
use serde::{Deserialize, Serialize};

/// A machine type offered by the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: TypeId,
    /// Processors.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which it fetches images, in GB per second.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Current price per hour of a spot machine.
    #[serde(rename = "spotPrice")]
    pub spot_price: f64,
    /// Usual boot time in seconds.
    #[serde(rename = "bootS")]
    pub boot_s: f64,
    /// The zones that offer it.
    #[serde(rename = "sites")]
    pub zones: Vec<ZoneId>,
}

/// `GET /machine_types`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "gabaritsMachine")]
    pub types: Vec<MachineType>,
}

/// `POST /machines`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// The unique name of the request.
    #[serde(rename = "demandeLocation")]
    pub request: String,
    /// The machine type.
    #[serde(rename = "gabaritMachine")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "site")]
    pub zone: ZoneId,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "pretees")]
    pub spot: bool,
    /// Number of machines, at most 50.
    pub count: u32,
}

/// Machines that were created, or that are to be deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    /// Machines by name.
    #[serde(rename = "ruches")]
    pub machines: Vec<MachineId>,
}

/// The state of a machine as reported by the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It is booting.
    #[serde(rename = "starting")]
    Booting,
    /// It is running.
    Running,
    /// It failed.
    Failed,
    /// A value added by a later protocol version.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Address at which its worker accepts orders.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// The machine type.
    #[serde(rename = "gabaritMachine")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "site")]
    pub zone: ZoneId,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "pretees")]
    pub spot: bool,
    /// The state.
    #[serde(rename = "etat")]
    pub state: MachineState,
    /// Seconds since it was requested.
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

/// A page of `GET /machines`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines by name.
    #[serde(rename = "ruches")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
