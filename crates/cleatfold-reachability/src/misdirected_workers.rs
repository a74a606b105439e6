//! Detects workers that report to this controller because they cannot reach their pool's owner.

use cleatfold_wire::{AgentEpoch, ControllerId, FencingToken, MachineId, Ms, PoolId, Seq};
use std::collections::{BTreeMap, VecDeque};

/// Reports of a misdirected worker count for this long: a worker that cannot reach its owner
/// reports here repeatedly.
const REPORT_WINDOW_MS: u64 = 15_000;
/// Time that a worker may need to find its pool's new owner: one unanswered request and a pause.
const OWNER_CHANGE_GRACE_MS: u64 = 5_000;
/// Minimum time between the first and the last report of a worker before it counts as misdirected,
/// while messages from the owner arrive. Shorter series come from workers that are only being
/// redirected.
const MIN_REPORT_SPAN_MS: u64 = 1_200;
const OWNER_SILENCE_MS: u64 = 2_500;
/// Minimum time between two probes for the same pool.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// How far the sequence number in a worker's probe answer may be ahead of the report that the probe
/// verifies; a report further behind was a delayed copy. Allows for the answer itself and a report
/// to the redirect target. With 6, pools were moved because of copies that were a few seconds old.
const MAX_SEQ_ADVANCE: u64 = 2;

/// Whether to take over the pool of a misdirected worker.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverDecision {
    /// Leave the pool with its owner.
    Keep,
    /// Probe the worker, and take the pool over if the answer confirms the report.
    Probe,
}

/// A probe whose answer is awaited.
#[derive(Clone, Debug)]
struct PendingProbe {
    machine: MachineId,
    report_number: (AgentEpoch, Seq),
    owner: ControllerId,
    sent_at: Ms,
}

/// Workers that reported here instead of to their pool's owner.
#[derive(Clone, Debug, Default)]
pub struct MisdirectedWorkers {
    reports: BTreeMap<MachineId, (PoolId, VecDeque<Ms>)>,
    /// Each pool's last known token, and since when it is known.
    tokens: BTreeMap<PoolId, (FencingToken, Ms)>,
    pending_probes: BTreeMap<PoolId, PendingProbe>,
    /// The number of each machine's last probe answer that confirmed it as misdirected, and its time.
    confirmed: BTreeMap<MachineId, (AgentEpoch, Seq, Ms)>,
}

impl MisdirectedWorkers {
    /// Records the token under which a pool is owned.
    pub fn record_token(&mut self, pool: &PoolId, token: FencingToken, now: Ms) {
        match self.tokens.get_mut(pool) {
            Some(seen) if seen.0 == token => {}
            Some(seen) => *seen = (token, now),
            None => {
                self.tokens.insert(pool.clone(), (token, now));
            }
        }
    }

    /// Records that a worker reached its owner, this controller.
    pub fn record_owner_contact(&mut self, machine: &MachineId) {
        self.reports.remove(machine);
        self.confirmed.remove(machine);
    }

    /// Records that a worker of another controller's pool reported here, and returns whether the
    /// worker should be probed as the first step of taking the pool over.
    ///
    /// A single report may be due to a change of ownership; repeated ones show that the worker
    /// cannot reach its owner. Some workers of a large pool briefly fail to reach a busy owner, and
    /// a takeover makes all workers of the pool change controllers. So a quarter of the pool's
    /// `machines` must be misdirected first.
    ///
    /// While no messages arrive from the owner (`owner_last_message`), it may have failed or be
    /// about to restart. Its lease in the state service decides that, so only workers that stay
    /// misdirected for longer than the lease count: their owner is alive but behind a network
    /// partition.
    ///
    /// A report may be a delayed copy, or come from a machine that receives no answers at all, so
    /// the worker is probed before the pool moves. (Without the probe, pools of such machines moved
    /// from one controller to the next.)
    pub fn on_report(
        &mut self,
        (machine, report_number): (&MachineId, (AgentEpoch, Seq)),
        pool: &PoolId,
        machines: usize,
        (owner, owner_last_message): (&ControllerId, Option<Ms>),
        lease_ms: u64,
        now: Ms,
    ) -> TakeoverDecision {
        // The owner has only just changed; its workers may not have found the new owner yet.
        if self.tokens.get(pool).is_some_and(|t| now.since(t.1) < OWNER_CHANGE_GRACE_MS) {
            return TakeoverDecision::Keep;
        }
        let min_span_ms = match owner_last_message {
            Some(at) if now.since(at) < OWNER_SILENCE_MS => MIN_REPORT_SPAN_MS,
            _ => lease_ms + 1500,
        };
        let is_repeated = |times: &VecDeque<Ms>| {
            let mut recent = times.iter().filter(|t| now.since(**t) <= REPORT_WINDOW_MS);
            let first = recent.next();
            recent.next().is_some() && first.is_some_and(|t| now.since(*t) > min_span_ms)
        };
        let entry = self.reports.entry(machine.clone());
        let (last_pool, times) = entry.or_insert_with(|| (pool.clone(), VecDeque::new()));
        *last_pool = pool.clone();
        times.push_back(now);
        while times.front().is_some_and(|t| now.since(*t) > REPORT_WINDOW_MS) {
            times.pop_front();
        }
        if !is_repeated(times) {
            return TakeoverDecision::Keep;
        }
        let misdirected = self.reports.values().filter(|r| r.0 == *pool && is_repeated(&r.1));
        let recently_probed =
            self.pending_probes.get(pool).is_some_and(|p| now.since(p.sent_at) < PROBE_INTERVAL_MS);
        if recently_probed || misdirected.count() < misdirected_quorum(machines) {
            return TakeoverDecision::Keep;
        }
        let (machine, owner) = (machine.clone(), owner.clone());
        self.pending_probes
            .insert(pool.clone(), PendingProbe { machine, report_number, owner, sent_at: now });
        TakeoverDecision::Probe
    }

    /// Processes the result of a probe: `answer` is the number of the machine's newest message, or
    /// `None` if it did not answer. Returns the pool to take over and its owner.
    ///
    /// If the owner reports contact with the zone (`owner_has_contact`), the worker must be
    /// confirmed as misdirected twice, the second time by a report sent after the first probe: a
    /// copy younger than the interval between two reports cannot be told from the report of a
    /// worker that has just arrived.
    pub fn on_probe_result(
        &mut self,
        machine: &MachineId,
        answer: Option<(AgentEpoch, Seq)>,
        owner_has_contact: impl Fn(&PoolId, &ControllerId) -> bool,
        now: Ms,
    ) -> Option<(PoolId, ControllerId)> {
        let pool = self.pending_probes.iter().find(|(_, p)| p.machine == *machine)?.0.clone();
        let pending = self.pending_probes.get(&pool)?.clone();
        let (agent_epoch, seq) = answer?;
        let advance = seq.0.checked_sub(pending.report_number.1 .0);
        let is_current =
            agent_epoch == pending.report_number.0 && advance.is_some_and(|n| n <= MAX_SEQ_ADVANCE);
        if !is_current || now.since(pending.sent_at) > 2 * PROBE_INTERVAL_MS {
            return None;
        }
        let report_number = pending.report_number;
        let previous = self.confirmed.insert(machine.clone(), (agent_epoch, seq, now));
        self.confirmed.retain(|_, c| now.since(c.2) <= REPORT_WINDOW_MS);
        let is_confirmed_twice = previous.is_some_and(|(agent_epoch, seq, at)| {
            report_number > (agent_epoch, seq) && now.since(at) <= REPORT_WINDOW_MS
        });
        if !is_confirmed_twice && owner_has_contact(&pool, &pending.owner) {
            return None;
        }
        self.pending_probes.remove(&pool);
        Some((pool, pending.owner))
    }
}

/// How many of a pool's workers must be misdirected before the pool is taken over.
fn misdirected_quorum(machines: usize) -> usize {
    machines.div_ceil(4).max(1)
}
