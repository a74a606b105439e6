//! A digest of everything that the controllers of a simulated day ask to be done.
//!
//! Two versions of the code that play the same seeds with the same digest behave alike: the digest
//! covers every request to the state service with its stored bytes, every answer, order, cloud call
//! and message between controllers, in order and with its time. It is made of wire formats and of
//! numbers given here, never of names in the code, so that renaming something does not change it.

use bitcode::Encode;
use cleatfold_control::{CloudRequest, Effect, Response, StoreRequest, WorkspaceContents};
use cleatfold_wire::Ms;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Accumulates the digest of one day.
pub struct BehaviorDigest {
    hash: Xxh3,
}

impl Default for BehaviorDigest {
    fn default() -> Self {
        Self { hash: Xxh3::new() }
    }
}

impl BehaviorDigest {
    /// The digest of all effects added so far.
    pub fn value(&self) -> u128 {
        self.hash.digest128()
    }

    /// Adds what one controller asked for at one event.
    pub fn add(&mut self, controller: usize, now: Ms, effects: &[Effect]) {
        self.number(controller as u64);
        self.number(now.0);
        for effect in effects {
            self.effect(effect);
        }
    }

    fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Reply { rid, response } => {
                self.tagged(1, *rid);
                self.response(response);
            }
            Effect::Store { op, priority, request } => {
                self.tagged(2, *op);
                self.number(*priority as u64);
                self.store_request(request);
            }
            Effect::Cloud { op, request, spacing_ms } => {
                self.tagged(3, *op);
                self.number(*spacing_ms);
                self.cloud_request(request);
            }
            Effect::Order { machine, endpoint, orders } => {
                self.number(4);
                self.json(&(machine, endpoint, orders));
            }
            Effect::Probe { machine, endpoint } => {
                self.number(5);
                self.json(&(machine, endpoint));
            }
            Effect::Exit { reason } => {
                self.number(6);
                self.json(reason);
            }
            Effect::Mesh { to, message } => {
                self.number(7);
                self.json(to);
                self.bitcode(message);
            }
        }
    }

    fn response(&mut self, response: &Response) {
        match response {
            Response::Status { code, status } => {
                self.tagged(1, u64::from(*code));
                self.json(status);
            }
            Response::Refusal { code, why, retry_after_s } => {
                self.tagged(2, u64::from(*code));
                self.json(&(why, retry_after_s));
            }
            Response::Ready => self.number(3),
            Response::Steps(reply) => self.tagged_json(4, reply),
            Response::Losses(losses) => self.tagged_json(5, losses),
            Response::Workspace(WorkspaceContents::Jobs(jobs)) => self.tagged_json(6, jobs),
            Response::Workspace(WorkspaceContents::Queue(queue)) => self.tagged_json(7, queue),
            Response::Workspace(WorkspaceContents::History(history)) => {
                self.tagged_json(8, history)
            }
            Response::Worker(reply) => self.tagged_json(9, reply),
            Response::Redirect(report_to) => self.tagged_json(10, report_to),
        }
    }

    fn store_request(&mut self, request: &StoreRequest) {
        match request {
            StoreRequest::Get(key) => self.tagged_json(1, key),
            StoreRequest::List { prefix, from, limit } => {
                self.tagged_json(2, &(prefix, from, limit));
            }
            StoreRequest::Txn(txn) => self.tagged_json(3, txn),
            StoreRequest::Grant { ttl_ms } => self.tagged(4, *ttl_ms),
            StoreRequest::Extend(lease) => self.tagged(5, lease.0),
            StoreRequest::Changes { prefix, from } => self.tagged_json(6, &(prefix, from)),
        }
    }

    fn cloud_request(&mut self, request: &CloudRequest) {
        match request {
            CloudRequest::Types => self.number(1),
            CloudRequest::List { from } => self.tagged_json(2, from),
            CloudRequest::ScaleOut(rent) => self.tagged_json(3, rent),
            CloudRequest::Delete(machines) => self.tagged_json(4, machines),
        }
    }

    fn tagged(&mut self, tag: u64, number: u64) {
        self.number(tag);
        self.number(number);
    }

    fn tagged_json(&mut self, tag: u64, value: &impl Serialize) {
        self.number(tag);
        self.json(value);
    }

    fn number(&mut self, number: u64) {
        self.hash.update(&number.to_le_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hash.update(bytes);
    }

    fn json(&mut self, value: &impl Serialize) {
        self.bytes(&serde_json::to_vec(value).expect("wire formats are plain JSON"));
    }

    fn bitcode(&mut self, value: &impl Encode) {
        self.bytes(&bitcode::encode(value));
    }
}
