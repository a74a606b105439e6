//! Controllers that tell one another, over a mesh that loses and cuts: compared with who can have heard.

use cleatfold_cancellation_broadcast::CancellationBroadcast;
use cleatfold_wire::{ControllerId, JobId, Ms};
use proptest::prelude::*;
use std::collections::BTreeSet;

const CONTROLLERS: usize = 4;
const KEEP_MS: u64 = 40_000;

fn controller(i: usize) -> ControllerId {
    ControllerId::new(format!("n{i}"))
}

fn peers(of: usize) -> Vec<ControllerId> {
    (0..CONTROLLERS).filter(|i| *i != of).map(controller).collect()
}

fn job(n: u8) -> JobId {
    JobId::new(format!("run-{n}"))
}

/// Each second: what is due is sent and acknowledged over the links that are up, several times over.
fn second(all: &mut [CancellationBroadcast], up: &BTreeSet<(usize, usize)>, now: Ms) -> usize {
    let mut sent = 0;
    for half in 0..2 {
        let now = now.plus(500 * half);
        for from in 0..CONTROLLERS {
            for (to, jobs) in all[from].due(now, KEEP_MS, |_| None) {
                sent += jobs.len();
                let to = (0..CONTROLLERS).find(|i| controller(*i) == to).expect("a peer");
                if !up.contains(&(from, to)) {
                    continue;
                }
                for job in &jobs {
                    all[to].received(job, &controller(from), peers(to).iter(), now);
                }
                if up.contains(&(to, from)) {
                    jobs.iter().for_each(|job| all[from].acknowledged(&controller(to), job));
                }
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whoever can be reached by some way over peers knows after a few seconds, nobody else does, and nobody
    /// is told of anything that no one confirmed.
    #[test]
    fn whoever_is_reached_over_peers_is_notified(
        links in proptest::collection::btree_set((0..CONTROLLERS, 0..CONTROLLERS), 0..12),
        confirmed in proptest::collection::vec((0..CONTROLLERS, 0u8..6), 1..6),
    ) {
        let mut all = vec![CancellationBroadcast::default(); CONTROLLERS];
        let now = Ms(1000);
        for (at, n) in &confirmed {
            all[*at].confirmed(&job(*n), &[], peers(*at).iter(), now);
        }
        for s in 0..12 {
            second(&mut all, &links, now.plus(1000 * s));
        }
        for n in 0..6 {
            let mut knows: BTreeSet<usize> =
                confirmed.iter().filter(|c| c.1 == n).map(|c| c.0).collect();
            for _ in 0..CONTROLLERS {
                let hears: Vec<usize> =
                    links.iter().filter(|(a, _)| knows.contains(a)).map(|l| l.1).collect();
                knows.extend(hears);
            }
            for (i, broadcast) in all.iter().enumerate() {
                prop_assert_eq!(broadcast.knows(&job(n)), knows.contains(&i), "job {} at {}", n, i);
            }
        }
    }
}

#[test]
fn cancellations_are_not_repeated_once_acknowledged_or_read() {
    let mut broadcast = CancellationBroadcast::default();
    let (owner, other) = (controller(1), controller(2));
    broadcast.confirmed(
        &job(1),
        std::slice::from_ref(&owner),
        [&owner, &other].into_iter(),
        Ms(1000),
    );
    let due = broadcast.due(Ms(1000), KEEP_MS, |_| None);
    assert_eq!(due.keys().collect::<Vec<_>>(), [&owner], "the owner at once, alone");
    assert!(broadcast.due(Ms(1400), KEEP_MS, |_| None).is_empty());
    assert_eq!(broadcast.due(Ms(1500), KEEP_MS, |_| None).len(), 1, "again, for nothing came back");
    broadcast.acknowledged(&owner, &job(1));
    // It was read before the job was cancelled; then after.
    assert_eq!(
        broadcast.due(Ms(3000), KEEP_MS, |_| Some(Ms(1000))).keys().collect::<Vec<_>>(),
        [&other]
    );
    assert!(broadcast.due(Ms(9000), KEEP_MS, |_| Some(Ms(1001))).is_empty());
    assert!(broadcast.knows(&job(1)));
    broadcast.due(Ms(1001 + KEEP_MS), KEEP_MS, |_| None);
    assert!(!broadcast.knows(&job(1)), "kept for ever");
}

/// Twice as many as are kept, and most of them never acknowledged.
#[test]
fn what_is_kept_and_sent_at_once_is_bounded() {
    let mut broadcast = CancellationBroadcast::default();
    let peer = controller(1);
    for n in 0..16_000 {
        broadcast.read(&JobId::new(format!("run-{n}")), [&peer].into_iter(), Ms(1000 + n));
    }
    assert!(!broadcast.knows(&JobId::new("run-0")) && broadcast.knows(&JobId::new("run-15999")));
    let due = broadcast.due(Ms(30_000), KEEP_MS, |_| None);
    assert!(due[&peer].len() <= 256);
}
