//! What each event does to the world.

use crate::cfg::{Cfg, Guard};
use crate::coordinator;
use crate::world::{Event, Fault, Id, Instance, Listing, Order, Own, World, bit, has};

impl World {
    /// Lets something happen.
    pub(crate) fn apply(&mut self, cfg: &Cfg, event: Event) -> Result<(), Fault> {
        let result = self.happen(cfg, event);
        coordinator::end_without_duty(self, cfg);
        result
    }

    fn happen(&mut self, cfg: &Cfg, event: Event) -> Result<(), Fault> {
        match event {
            Event::Write => {
                let commit = cfg.budget.writes - self.left.writes;
                self.left.writes -= 1;
                self.instances[self.primary].log |= bit(usize::from(commit));
            }
            Event::Receive(id) => return self.receive(cfg, id),
            Event::Crash(id) => self.crash(id),
            Event::Restart(id) => {
                self.left.restarts -= 1;
                self.instances[id].runs = true;
                self.instances[id].paused = 0;
                coordinator::restarted(self, id);
            }
            Event::Return(id) => self.come_back(id),
            Event::Lapse(id) => {
                self.left.lapses -= 1;
                self.instances[id].listing = Listing::Lapsed;
            }
            Event::Announce(id) => {
                self.instances[id].listing = Listing::Listed;
                self.instances[id].hidden = false;
            }
            Event::Count(id) => self.count(cfg, id),
            Event::Start => self.start(),
            Event::Leave(id) => {
                self.left.leaves -= 1;
                self.leaving |= bit(id);
            }
            Event::Arrive(order) => self.arrive(order),
            Event::Refuse(order) => {
                self.left.refusals -= 1;
                self.refuse(order);
            }
            Event::CarryOut(order) => return self.carry_out(order),
            Event::Deliver(id, own) => self.deliver(id, own),
            Event::LoseDuty => {
                self.left.lost_duties -= 1;
                self.holder += 1;
                if cfg.off != Some(Guard::Claim) {
                    self.coordinators[self.holder].notes = self.notes;
                }
            }
            Event::Lapsed => {
                self.orders.clear();
                self.notes.lead = None;
                for this in &mut self.coordinators {
                    this.notes.lead = None;
                }
            }
            Event::CatchUp(at) => self.coordinators[at].notes = self.notes,
            Event::Coordinator(at, event) => coordinator::apply(self, at, event, cfg),
            event => self.reach(event),
        }
        Ok(())
    }

    /// Changes who reaches whom.
    fn reach(&mut self, event: Event) {
        match event {
            Event::Cut(id) => {
                self.left.cuts -= 1;
                self.cut |= bit(id);
            }
            Event::Heal(id) => {
                self.left.heals -= 1;
                self.cut &= !bit(id);
            }
            Event::Full(id) => {
                self.left.fulls -= 1;
                self.full |= bit(id);
            }
            Event::Free(id) => self.full &= !bit(id),
            _ => {}
        }
    }

    fn start(&mut self) {
        self.left.starts -= 1;
        let term = self.instances[self.primary].term;
        self.instances.push(Instance {
            runs: true,
            listing: Listing::Unknown,
            leads: false,
            term,
            held: 0,
            log: 0,
            paused: 0,
            born: 0,
            hidden: false,
        });
    }

    /// What was meant for the earlier id does not reach it.
    fn come_back(&mut self, id: Id) {
        self.left.returns -= 1;
        let i = &mut self.instances[id];
        i.runs = true;
        i.paused = 0;
        i.born += 1;
        i.hidden = true;
        self.orders.retain(|o| o.instance != id);
        self.leaving &= !bit(id);
        self.statements.retain(|(to, _)| *to != id);
        coordinator::forget(self, id);
    }

    fn count(&mut self, cfg: &Cfg, id: Id) {
        self.counted |= bit(id);
        self.acknowledge(cfg, id);
    }

    fn crash(&mut self, id: Id) {
        self.left.crashes -= 1;
        self.instances[id].runs = false;
        self.counted &= !bit(id);
        // It is down for longer than an order takes.
        self.orders.retain(|o| !o.accepted || o.instance != id);
    }

    /// Proxies see what a replica holds. A connection to it ends with its process, so that one
    /// that restarts counts anew.
    fn acknowledge(&mut self, cfg: &Cfg, id: Id) {
        if has(self.counted, id) || !cfg.counted() {
            self.acknowledged |= self.answered & self.instances[id].log;
        }
    }

    /// A replica receives all that the primary has, which so becomes answered.
    fn receive(&mut self, cfg: &Cfg, id: Id) -> Result<(), Fault> {
        let primary = self.instances[self.primary];
        let i = &mut self.instances[id];
        i.log = primary.log;
        i.held = primary.held;
        i.term = primary.term;
        self.answered |= primary.log;
        self.acknowledge(cfg, id);
        let leaders = self.instances.iter();
        let leaders = leaders.filter(|i| i.runs && i.leads && i.term == primary.term);
        if leaders.count() > 1 {
            return Err(Fault::TwoLeaders);
        }
        Ok(())
    }

    /// The platform takes an order, or refuses it.
    fn arrive(&mut self, order: Order) {
        if order.token < self.seen || !self.instances[order.instance].runs {
            self.refuse(order);
            return;
        }
        self.orders.retain(|o| *o != order);
        self.seen = order.token;
        // Those that would be refused.
        self.orders.retain(|o| o.accepted || o.token > order.token);
        coordinator::answered(self, order.token, true);
        if order.instance != self.primary || !self.instances[order.instance].leads {
            let accepted = Order {
                accepted: true,
                ..order
            };
            self.orders.push(accepted);
            self.orders.sort_unstable();
        }
    }

    fn refuse(&mut self, order: Order) {
        self.orders.retain(|o| *o != order);
        coordinator::answered(self, order.token, false);
    }

    /// An instance leads the next term with what it holds.
    fn carry_out(&mut self, order: Order) -> Result<(), Fault> {
        self.orders.retain(|o| *o != order);
        let next = order.instance;
        if !self.instances[next].runs || next == self.primary && self.instances[next].leads {
            return Ok(());
        }
        let newest = self.instances.iter().map(|i| i.term).max();
        let term = newest.unwrap_or_default() + 1;
        let log = self.instances[next].log;
        for i in &mut self.instances {
            i.leads = false;
            i.paused = 0;
            i.term = term;
            if i.runs {
                i.roll_back(log);
            }
        }
        self.primary = next;
        self.instances[next].leads = true;
        self.instances[next].held = term;
        if self.acknowledged & !log != 0 {
            return Err(Fault::Lost(next));
        }
        Ok(())
    }

    pub(crate) fn deliver(&mut self, id: Id, own: Own) {
        self.statements.retain(|s| *s != (id, own));
        let i = &mut self.instances[id];
        match own {
            Own::Pause(term) if !i.leads && term > i.term => i.paused = i.paused.max(term),
            Own::Demote(term) if i.leads && term > i.term => i.leads = false,
            Own::Resume => i.paused = 0,
            Own::Pause(_) | Own::Demote(_) => {}
        }
    }

    pub(crate) fn send(&mut self, id: Id, own: Own) {
        if !self.statements.contains(&(id, own)) {
            self.statements.push((id, own));
            self.statements.sort_unstable();
        }
    }
}
