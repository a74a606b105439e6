//! Lets workers go when nothing is heard of the state service nor of the other controllers.
//!
//! A controller that has lost both, but not its workers, can't tell whether all have lost the state service
//! (then letting its workers go would cost their leases) or it alone (then others own its pools by now, and as
//! long as it answers its workers nothing starts there). So it lets one worker of each pool go and sees what
//! becomes of it: sent away by the others it is back in a moment and still unserved; served, it does not come
//! back, or with a higher token.

use cleatfold_wire::{ControllerId, MachineId, Ms, PoolId};
use std::collections::BTreeMap;

/// The way to another controller and back (PROTOCOL: half a second to go where it is sent), and a moment
/// for an answer. Whoever is not back after that is served.
const ROUND_MS: u64 = 3_500;
/// After somebody came back unserved nobody is let go for so long.
const PAUSE_MS: u64 = 10_000;
/// Workers with nothing to lose are let go first; where all are busy, one of them after so long.
const BUSY_MS: u64 = 1_500;

#[derive(Clone, Debug)]
struct Scout {
    machine: MachineId,
    left: Ms,
}

#[derive(Clone, Debug, Default)]
struct Search {
    since: Ms,
    scout: Option<Scout>,
    /// It came back unserved then.
    back: Option<Ms>,
    /// Others serve this pool.
    served: bool,
}

/// The pools of a controller whose own lease is over.
#[derive(Clone, Debug, Default)]
pub struct WorkerRelease {
    pools: BTreeMap<PoolId, Search>,
    /// Whom the next scout is sent to.
    turn: usize,
}

/// What to do with a worker that reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Answer it as ever.
    Keep,
    /// To this controller, or to whichever it finds.
    Release(Option<ControllerId>),
}

impl WorkerRelease {
    /// We are in contact again, or know better who owns what.
    pub fn reset(&mut self) {
        self.pools.clear();
    }

    /// A worker of the pool came with a token above ours.
    pub fn is_served(&mut self, pool: &PoolId, now: Ms) {
        let search = self.pools.entry(pool.clone()).or_default();
        search.since = now;
        search.served = true;
    }

    /// Others are known to serve what was ours.
    pub fn others_serve(&self) -> bool {
        self.pools.values().any(|s| s.served)
    }

    /// A worker of one of our pools reports, under our token. `idle`: it has no tasks.
    pub fn reports(
        &mut self,
        pool: &PoolId,
        machine: &MachineId,
        idle: bool,
        peers: &[ControllerId],
        now: Ms,
    ) -> Answer {
        if peers.is_empty() {
            return Answer::Keep;
        }
        let search =
            self.pools.entry(pool.clone()).or_insert(Search { since: now, ..Search::default() });
        if search.served {
            return Answer::Release(None);
        }
        match &search.scout {
            Some(scout) if scout.machine == *machine => {
                // Back under the same token: nobody else serves here, as far as it has found.
                search.scout = None;
                search.back = Some(now);
                search.since = now;
                Answer::Keep
            }
            Some(scout) if now.since(scout.left) >= ROUND_MS => {
                search.served = true;
                Answer::Release(None)
            }
            Some(_) => Answer::Keep,
            None => {
                let rested = search.back.is_none_or(|at| now.since(at) >= PAUSE_MS);
                if !rested || !(idle || now.since(search.since) >= BUSY_MS) {
                    return Answer::Keep;
                }
                search.scout = Some(Scout { machine: machine.clone(), left: now });
                self.turn += 1;
                Answer::Release(Some(peers[self.turn % peers.len()].clone()))
            }
        }
    }
}
