//! Failures of the simulated fleet.

use model::position::Revision;
use model::unit::{Span, Time};
use rand::Rng as _;

use super::{Faults, Node, START, World};

impl World {
    pub(super) fn inject_faults(&mut self) {
        let ms = |ms| Time::from_millis(ms);
        let at = |time| self.now == time;
        match self.setup.faults {
            Faults::Partition if at(ms(5_000)) => self.cut_half_from_store(ms(60_000)),
            Faults::Join | Faults::Restart if at(ms(5)) => {
                let new = self.nodes.len() * 2 / 3;
                for node in &mut self.nodes[..new] {
                    node.down_until = ms(6_000);
                }
            }
            Faults::Join if at(ms(5_500)) => self.cut_old_from_store(ms(11_000)),
            Faults::Restart if at(ms(5_500)) => self.restart_from = self.store.revision(),
            Faults::Restart if at(ms(8_000)) => {
                for n in self.nodes.len() * 2 / 3..self.nodes.len() {
                    self.restart(n, self.restart_from);
                    self.nodes[n].down_until = self.now;
                    self.nodes[n].renew_at = self.now;
                }
            }
            Faults::Restart if at(ms(8_010)) => self.cut_old_from_store(ms(14_000)),
            Faults::RestartAll(down) => self.restart_all(down),
            Faults::RestartHalf(down) => self.restart_half(down),
            Faults::Stall if at(ms(8_000)) => self.stalled_until = ms(11_000),
            Faults::Cut if at(ms(2_500)) => self.cut_at = Some(self.nodes.len() * 2 / 3),
            _ => {}
        }
        let is_random = self.setup.faults == Faults::All && self.now > START;
        if is_random && self.chance(self.faults_per_s) {
            self.inject_random_fault();
        }
    }

    /// Restarts all proxies, when a half of them has just appeared.
    fn restart_all(&mut self, down: u64) {
        self.appear_late();
        if self.now == Time::from_millis(6_500) {
            for n in 0..self.nodes.len() {
                self.restart_within(n, down);
            }
        }
    }

    /// Restarts the half of the fleet that appeared late, of which the others have not learned.
    fn restart_half(&mut self, down: u64) {
        self.appear_late();
        if self.now == Time::from_millis(5_900) {
            for n in (1..self.nodes.len()).step_by(2) {
                self.nodes[n].store_cut_until = Time::from_millis(11_000);
                if n % 3 == 0 {
                    self.nodes[n].peers_cut_until = Time::from_millis(12_000);
                }
            }
        }
        if self.now == Time::from_millis(7_500) {
            for n in (0..self.nodes.len()).step_by(2) {
                self.restart_within(n, down);
            }
        }
    }

    /// Lets every second proxy start late.
    fn appear_late(&mut self) {
        if self.now == Time::from_millis(5) {
            for node in self.nodes.iter_mut().step_by(2) {
                node.down_until = Time::from_millis(6_000);
            }
        }
    }

    /// Takes the store from the third of the fleet that was there first.
    fn cut_old_from_store(&mut self, until: Time) {
        let new = self.nodes.len() * 2 / 3;
        for node in &mut self.nodes[new..] {
            node.store_cut_until = until;
        }
    }

    fn cut_half_from_store(&mut self, until: Time) {
        for n in 0..self.nodes.len() {
            if self.rng.random_bool(0.5) {
                self.nodes[n].store_cut_until = until;
            }
        }
    }

    fn inject_random_fault(&mut self) {
        let n = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..12) {
            0 => self.restart_from_some(n),
            1 => self.stalled_until = self.later(4_000),
            2 => {
                let share = self.rng.random_range(0.3..=1.0);
                for n in 0..self.nodes.len() {
                    if self.rng.random_bool(share) {
                        self.restart_from_some(n);
                    }
                }
            }
            3 | 4 => self.nodes[n].paused_until = self.later(9_000),
            5 | 6 => self.nodes[n].peers_cut_until = self.later(9_000),
            7 => self.leave(n),
            8 | 9 => {
                // The store turns a part of the fleet away.
                let until = self.later(14_000);
                for n in 0..self.nodes.len() {
                    if self.rng.random_bool(0.35) {
                        self.nodes[n].store_cut_until = until;
                    }
                }
            }
            10 => {
                let until = self.later(9_000);
                for node in &mut self.nodes {
                    node.store_cut_until = until;
                }
            }
            _ => self.nodes[n].store_cut_until = self.later(14_000),
        }
    }

    /// Restarts a process from a recent state of the store after at most `down` milliseconds.
    fn restart_within(&mut self, n: usize, down: u64) {
        self.restart_from_some(n);
        let start = self.later(down);
        self.nodes[n].down_until = start;
        self.nodes[n].renew_at = start;
    }

    /// Restarts a process from a state of the store that may be some seconds old.
    fn restart_from_some(&mut self, n: usize) {
        let newest = self.store.revision().0;
        let revision = self.rng.random_range(newest.saturating_sub(6)..=newest);
        self.restart(n, Revision(revision));
    }

    fn restart(&mut self, n: usize, revision: Revision) {
        let down = Span::from_millis(self.rng.random_range(50..2_500));
        let now = self.now;
        let node = &mut self.nodes[n];
        let mut fresh = Node::new(node.id.clone(), now, node.weight);
        fresh.incarnation = node.incarnation + 1;
        fresh.down_until = now + down;
        fresh.renew_at = now + down;
        fresh.store_cut_until = node.store_cut_until;
        fresh.peers_cut_until = node.peers_cut_until;
        fresh.authority.set_live(self.store.at(revision), revision);
        fresh.set_granters(&self.customer);
        *node = fresh;
    }

    /// Stops gracefully, and starts again a little later.
    fn leave(&mut self, n: usize) {
        let id = self.nodes[n].id.clone();
        if self.nodes[n].store_cut_until <= self.now {
            self.store.withdraw(&id);
        }
        self.restart_from_some(n);
    }
}
