//! The state service and the cloud of a capacity run: one thread, one actor that owns both.

use super::hollow::{NewWorker, ToHollow};
use super::traffic::{zone, MACHINE_TYPE, WORKER_CPUS, ZONES};
use super::usage::of_this_thread;
use crate::region::{json, problem, read, Answer};
use bytes::Bytes;
use cleatfold_fakes::cloud::Cloud;
use cleatfold_fakes::store::{Store, TxnError};
use cleatfold_wire::cloud::{MachineList, MachineType, MachineTypes, Machines, ScaleOutRequest};
use cleatfold_wire::store::{Grant, Granted, Revision, Txn};
use cleatfold_wire::{LeaseId, Ms, TypeId, Version, ZoneId};
use hyper::Method;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use warp::Filter;

const TICK: Duration = Duration::from_millis(50);
const BOOT_S: f64 = 2.0;
const LEADER: &str = "cf/leader";
/// What controllers cache.
const LIVE_PREFIX: &str = "cf/";

/// What the state service has done so far and what it holds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StateSeen {
    /// Puts and deletes that were executed, all and by the first part of their key.
    pub changes: u64,
    pub changes_of: BTreeMap<String, u64>,
    /// Transactions that were executed, that failed by a guard, and that the rate refused.
    pub commits: u64,
    pub conflicts: u64,
    pub refused: u64,
    pub requests: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Keys and bytes held, by the first part of their key.
    pub held: BTreeMap<String, (u64, u64)>,
    pub cpu_s: f64,
    /// The record that names the leader.
    pub leader: String,
}

enum ToState {
    Http {
        method: Method,
        path: String,
        query: String,
        body: Bytes,
        answer: oneshot::Sender<Answer>,
    },
    Inspection(oneshot::Sender<StateSeen>),
}

/// A running state service with its cloud. Its thread ends when this is dropped.
pub struct StateService {
    pub address: String,
    to: mpsc::UnboundedSender<ToState>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// A key's family: `cf/j` of `cf/j/run-1`, `ar` of `ar/run-1`.
fn family(key: &str) -> String {
    let segments = if key.starts_with(LIVE_PREFIX) { 2 } else { 1 };
    key.split('/').take(segments).collect::<Vec<_>>().join("/")
}

impl StateService {
    /// Starts it with `workers` machines that are up already, spread over the zones.
    pub fn start(
        workers: usize,
        changes_per_s: f64,
        inventory: Vec<mpsc::UnboundedSender<ToHollow>>,
    ) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?.to_string();
        let (to, inbox) = mpsc::unbounded_channel();
        let (stop, stopped) = oneshot::channel();
        let me = to.clone();
        let thread = std::thread::Builder::new().name("state".into()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let mut actor = Actor::new(workers, changes_per_s, inventory);
                actor.populate(workers);
                tokio::select! {
                    _ = stopped => {}
                    _ = actor.serve(listener, me, inbox) => {}
                }
            });
        })?;
        Ok(Self { address, to, stop: Some(stop), thread: Some(thread) })
    }

    pub async fn inspect(&self) -> StateSeen {
        let (answer, seen) = oneshot::channel();
        let _ = self.to.send(ToState::Inspection(answer));
        seen.await.unwrap_or_default()
    }
}

impl Drop for StateService {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Actor {
    start: Instant,
    store: Store,
    cloud: Cloud,
    seen: StateSeen,
    changes_per_s: f64,
    /// Changes that may still be made now; at most those of a second.
    allowance: f64,
    inventory: Vec<mpsc::UnboundedSender<ToHollow>>,
}

impl Actor {
    fn new(
        workers: usize,
        changes_per_s: f64,
        inventory: Vec<mpsc::UnboundedSender<ToHollow>>,
    ) -> Self {
        let kind = MachineType {
            name: TypeId::new(MACHINE_TYPE),
            cpus: WORKER_CPUS,
            gpus: 0.0,
            memory_gb: 4.0 * WORKER_CPUS,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 1.0,
            boot_s: BOOT_S,
            zones: (0..ZONES).map(|i| ZoneId::new(zone(i))).collect(),
        };
        let mut cloud = Cloud::default();
        (cloud.types, cloud.capacity) = (vec![kind], workers);
        Self {
            start: Instant::now(),
            store: Store::default(),
            cloud,
            seen: StateSeen::default(),
            changes_per_s,
            allowance: changes_per_s,
            inventory,
        }
    }

    fn now(&self) -> Ms {
        Ms(1000 + self.start.elapsed().as_millis() as u64)
    }

    /// Creates the machines that are there from the beginning.
    fn populate(&mut self, workers: usize) {
        for i in 0..ZONES {
            let request = ScaleOutRequest {
                request: format!("first-{i}"),
                machine_type: TypeId::new(MACHINE_TYPE),
                zone: ZoneId::new(zone(i)),
                spot: false,
                count: (workers / ZONES + usize::from(i < workers % ZONES)) as u32,
            };
            if request.count > 0 {
                self.rent(&request, 0.0);
            }
        }
    }

    async fn serve(
        &mut self,
        listener: std::net::TcpListener,
        me: mpsc::UnboundedSender<ToState>,
        mut inbox: mpsc::UnboundedReceiver<ToState>,
    ) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        let routes = warp::method()
            .and(warp::path::full())
            .and(warp::query::raw().or(warp::any().map(String::new)).unify())
            .and(warp::body::bytes())
            .then(move |method, path: warp::path::FullPath, query, body| {
                let me = me.clone();
                async move {
                    let (answer, answered) = oneshot::channel();
                    let path = path.as_str().to_string();
                    let _ = me.send(ToState::Http { method, path, query, body, answer });
                    let (code, body) = answered.await.unwrap_or((503, vec![]));
                    warp::http::Response::builder().status(code).body(body).unwrap_or_default()
                }
            });
        tokio::task::spawn_local(warp::serve(routes).incoming(listener).run());
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(ToState::Http { method, path, query, body, answer }) => {
                        let (code, text) = self.answer(&method, &path, &query, &body);
                        self.seen.requests += 1;
                        self.seen.bytes_in += body.len() as u64;
                        self.seen.bytes_out += text.len() as u64;
                        let _ = answer.send((code, text));
                    }
                    Some(ToState::Inspection(answer)) => {
                        let _ = answer.send(self.inspect());
                    }
                    None => return,
                },
                _ = tick.tick() => {
                    let more = self.allowance + self.changes_per_s * TICK.as_secs_f64();
                    self.allowance = more.min(self.changes_per_s);
                    self.store.expire(self.now());
                }
            }
        }
    }

    fn inspect(&self) -> StateSeen {
        let mut seen = self.seen.clone();
        for item in self.store.list("", None, usize::MAX - 1).items {
            let held = seen.held.entry(family(&item.key)).or_default();
            held.0 += 1;
            held.1 += (item.key.len() + item.value.get().len()) as u64;
        }
        seen.cpu_s = of_this_thread();
        seen.leader = self.store.get(LEADER).map(|i| i.value.get().into()).unwrap_or_default();
        seen
    }

    fn answer(&mut self, method: &Method, path: &str, query: &str, body: &[u8]) -> Answer {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
        };
        let number = |name: &str| field(name).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let prefix = field("prefix").unwrap_or_default();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method.as_str(), parts.as_slice()) {
            ("GET", ["store"]) => {
                json(200, &self.store.list(prefix, field("from"), number("page") as usize))
            }
            ("GET", ["store", ..]) => match self.store.get(path.trim_start_matches("/store/")) {
                Some(item) => json(200, &item),
                None => problem(404, "no such key"),
            },
            ("GET", ["follow"]) => json(200, &self.store.changes(prefix, Version(number("from")))),
            ("POST", ["multi"]) => read(body, |txn: Txn| self.transaction(&txn)),
            ("POST", ["grants"]) => read(body, |grant: Grant| {
                json(200, &Granted { lease: self.store.grant(self.now(), grant.ttl_ms) })
            }),
            ("POST", ["grants", id, "extend"]) => {
                let lease = LeaseId(id.parse().unwrap_or(0));
                match self.store.extend(self.now(), lease) {
                    true => json(200, &()),
                    false => problem(404, "no such lease"),
                }
            }
            ("GET", ["machine_types"]) => {
                json(200, &MachineTypes { types: self.cloud.types.clone() })
            }
            ("GET", ["machines"]) => self.machines(field("from"), number("page") as usize),
            ("POST", ["machines"]) => {
                read(body, |request: ScaleOutRequest| self.rent(&request, BOOT_S))
            }
            ("POST", ["machines", "delete"]) => read(body, |names: Machines| {
                self.cloud.delete(&names.machines);
                for sender in &self.inventory {
                    let _ = sender.send(ToHollow::Remove(names.machines.clone()));
                }
                json(200, &())
            }),
            _ => problem(404, "no such path"),
        }
    }

    fn transaction(&mut self, txn: &Txn) -> Answer {
        let changes = txn.changes.len();
        if changes > 0 && self.allowance < 1.0 {
            self.seen.refused += 1;
            return problem(429, "too many changes");
        }
        self.allowance -= changes as f64;
        match self.store.txn(txn) {
            Ok(revision) => {
                self.seen.changes += changes as u64;
                self.seen.commits += u64::from(changes > 0);
                for key in txn.changes.iter().filter_map(|c| c.put.as_ref().or(c.delete.as_ref())) {
                    *self.seen.changes_of.entry(family(key)).or_default() += 1;
                }
                json(200, &Revision { revision, failed: vec![] })
            }
            Err(TxnError::Conflict(failed)) => {
                self.seen.conflicts += 1;
                json(409, &Revision { revision: self.store.revision(), failed })
            }
            Err(TxnError::NoSuchLease) => problem(400, "no such lease"),
        }
    }

    fn machines(&self, from: Option<&str>, page: usize) -> Answer {
        let all = self.cloud.list(self.now());
        let after = all.into_iter().filter(|m| from.is_none_or(|from| m.id.as_str() > from));
        let page = page.clamp(1, 500);
        let mut machines: Vec<_> = after.take(page + 1).collect();
        let more = machines.len() > page;
        machines.truncate(page);
        json(200, &MachineList { machines, more })
    }

    fn rent(&mut self, request: &ScaleOutRequest, boot_s: f64) -> Answer {
        let known = self.cloud.machines.len();
        let Some(names) = self.cloud.scale_out(self.now(), request) else {
            return problem(503, "no capacity");
        };
        let new = self.cloud.machines.len() > known;
        for (i, id) in names.iter().enumerate().filter(|_| new) {
            let worker = NewWorker {
                id: id.clone(),
                zone: request.zone.clone(),
                spot: request.spot,
                boot_s,
            };
            let _ = self.inventory[i % self.inventory.len()].send(ToHollow::Add(worker));
        }
        json(200, &Machines { machines: names })
    }
}
