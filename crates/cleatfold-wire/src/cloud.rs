//! The cloud's calls.

use crate::ids::{MachineId, TypeId, ZoneId};
use serde::{Deserialize, Serialize};

/// A kind of machine that the cloud rents out.
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
    /// Room for images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// How fast it fetches images, in GB per second.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Per hour, of an ordinary machine.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Per hour, of a spot machine, at present.
    #[serde(rename = "spotPrice")]
    pub spot_price: f64,
    /// How long it usually boots, in seconds.
    #[serde(rename = "bootS")]
    pub boot_s: f64,
    /// The zones that have it.
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
    /// The request's name; used once.
    #[serde(rename = "demandeLocation")]
    pub request: String,
    /// The machine type.
    #[serde(rename = "gabaritMachine")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "site")]
    pub zone: ZoneId,
    /// A spot machine, which may be taken back.
    #[serde(rename = "pretees")]
    pub spot: bool,
    /// How many machines, 50 at most.
    pub count: u32,
}

/// The machines rented, or to be deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    /// Machines by name.
    #[serde(rename = "ruches")]
    pub machines: Vec<MachineId>,
}

/// How a machine is, as the cloud sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It is booting.
    #[serde(rename = "starting")]
    Booting,
    /// It is up.
    Running,
    /// It stopped by itself.
    Failed,
    /// Anything that the protocol may add.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Where its worker takes orders.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// The machine type.
    #[serde(rename = "gabaritMachine")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "site")]
    pub zone: ZoneId,
    /// A spot machine, which may be taken back.
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
    /// Whether there is more after this.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
