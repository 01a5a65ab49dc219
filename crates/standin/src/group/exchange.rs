//! Replication between the instances of a group, by messages over their links.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::replicate::{Message, Role};
use super::server::Server;
use crate::link::Traffic;

/// How often a replica asks its primary for records.
const PULL: Duration = Duration::from_millis(50);

impl Server {
    /// Sends every replica the records that it has not been sent.
    pub(super) fn push(self: &Rc<Self>) {
        let mut out = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let end = state.received();
            let (log, history, term) = (&state.log, state.history.clone(), state.term);
            let sent: Vec<_> = state
                .followers
                .values()
                .filter(|f| f.sent < end)
                .map(|f| (f.address, f.sent))
                .collect();
            for (address, after) in sent {
                let records = log[after.0 as usize..].to_vec();
                let history = history.clone();
                out.push((
                    address,
                    Message::Records {
                        term,
                        history,
                        after,
                        records,
                    },
                ));
            }
            for follower in state.followers.values_mut() {
                follower.sent = end;
            }
        }
        for (address, message) in out {
            self.send(address, message);
        }
    }

    /// Asks the primary for records, if this is a replica.
    pub(super) fn pull(self: &Rc<Self>) {
        let state = self.state.borrow();
        let Role::Replica(primary) = state.role else {
            return;
        };
        let message = Message::Pull {
            from: self.id.clone(),
            address: self.address,
            term: state.term,
            history: state.history.clone(),
            received: state.received(),
        };
        drop(state);
        self.send(primary, message);
    }

    /// Pulls for as long as the fleet runs.
    pub(crate) async fn pull_forever(self: Rc<Self>) {
        loop {
            compio::time::sleep(PULL).await;
            self.running().await;
            if self.knobs.borrow().alive {
                self.pull();
            }
        }
    }

    pub(super) fn send(self: &Rc<Self>, to: SocketAddr, message: Message) {
        let Some(peer) = self.peers.borrow().get(&to).cloned() else {
            return;
        };
        let (here, there) = (Some(self.home), Some(peer.home));
        let cut = || {
            self.net.isolated(&self.id)
                || self.net.isolated(&peer.id)
                || !self.net.open(here, there)
        };
        if cut() {
            return;
        }
        let due = self
            .net
            .arrival(Traffic::Replication, here, there, message.size());
        compio::runtime::spawn(async move {
            if due > Instant::now() {
                compio::time::sleep_until(due).await;
            }
            peer.running().await;
            if peer.knobs.borrow().alive {
                peer.receive(message);
            }
        })
        .detach();
    }

    pub(super) fn receive(self: &Rc<Self>, message: Message) {
        match message {
            Message::Pull {
                from,
                address,
                term,
                history,
                received,
            } => {
                let reply = self
                    .state
                    .borrow_mut()
                    .pulled(from, address, term, &history, received);
                if let Some(reply) = reply {
                    self.send(address, reply);
                }
            }
            Message::Records {
                term,
                history,
                after,
                records,
            } => {
                let lag = self.knobs.borrow().lag;
                let mut state = self.state.borrow_mut();
                if !state.take(term, &history, after, records, lag) {
                    return;
                }
                state.wake();
                if lag.is_zero() {
                    state.apply_until(None);
                    return;
                }
                drop(state);
                let server = Rc::clone(self);
                compio::runtime::spawn(async move {
                    compio::time::sleep(lag).await;
                    server.running().await;
                    let now = Instant::now();
                    server.state.borrow_mut().apply_until(Some(now));
                })
                .detach();
            }
        }
    }
}
