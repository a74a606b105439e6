//! Assignment of teams to owners, and paging of answers.

use cleatfold_wire::{ControllerId, TeamId};
use cleatfold_workspace::owner::{owner_rank, preferred_owner};
use cleatfold_workspace::page::page_by_place;
use std::collections::{BTreeMap, BTreeSet};

fn controllers(n: usize) -> BTreeSet<ControllerId> {
    (0..n).map(|i| ControllerId::new(format!("node-{i}"))).collect()
}

#[test]
fn failed_controller_moves_only_its_own_teams() {
    let all = controllers(5);
    let teams: Vec<TeamId> = (0..200).map(|i| TeamId::new(format!("team-{i}"))).collect();
    let failed = ControllerId::new("node-2");
    let remaining: BTreeSet<ControllerId> = all.iter().filter(|n| **n != failed).cloned().collect();
    let mut counts: BTreeMap<&ControllerId, usize> = BTreeMap::new();
    let mut successors = BTreeSet::new();
    for team in &teams {
        let owner = preferred_owner(team, all.iter()).unwrap();
        *counts.entry(owner).or_default() += 1;
        assert_eq!(owner_rank(team, owner, &all), 0);
        let ranks: BTreeSet<usize> = all.iter().map(|n| owner_rank(team, n, &all)).collect();
        assert_eq!(ranks.len(), all.len(), "distinct ranks");
        let next = preferred_owner(team, remaining.iter()).unwrap();
        if *owner == failed {
            assert_eq!(owner_rank(team, next, &all), 1);
            successors.insert(next);
        } else {
            assert_eq!(owner, next, "keeps its owner");
        }
    }
    assert_eq!(successors.len(), 4);
    assert!(counts.values().all(|n| (20..=65).contains(n)), "{counts:?}");
}

#[test]
fn pages_split_between_places_and_return_each_entry_once() {
    // Jobs accepted in one change share a place.
    let all: Vec<(u64, String)> = (0..3000u64)
        .map(|i| (10 + i / 7, format!("{i:06}{}", "x".repeat((i % 90) as usize))))
        .collect();
    let (mut received, mut since) = (Vec::new(), 0);
    loop {
        let from = all.iter().filter(|e| e.0 >= since).cloned();
        let (page, next, more) = page_by_place(since, from, |_| {});
        assert!(serde_json::to_string(&page).unwrap().len() < 64 * 1024);
        received.extend(page);
        since = next;
        if !more {
            break;
        }
    }
    assert_eq!(received, all.into_iter().map(|e| e.1).collect::<Vec<_>>());
    // Explanatory texts are dropped before entries are.
    let long = (0..20).map(|i| (5u64, format!("{i:02}{}", "y".repeat(5000))));
    let (page, next, more) = page_by_place(0, long, |text| text.truncate(2));
    assert_eq!((page.len(), next, more), (20, 6, false));
}
