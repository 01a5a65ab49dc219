//! Faults and observations from outside the fleet's thread.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::id::InstanceId;

use crate::fleet::World;
use crate::group::{self, Record, Server, Status};
use crate::link::{Bytes, Reach};
use crate::platform::{Counts, Fault, Vm};
use crate::relay;

/// Something to do on the fleet's thread; `Break` stops the fleet.
pub(crate) type Command = Box<dyn FnOnce(&World) -> ControlFlow<()> + Send>;

/// Steers running stand-ins; every method waits until it is in force.
#[derive(Clone)]
pub struct Control(flume::Sender<Command>);

/// Why a command was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The fleet has stopped.
    #[error("the stand-ins have stopped")]
    Stopped,
    /// No instance has this name.
    #[error("there is no instance {0}")]
    NoInstance(InstanceId),
    /// A data centre's index is out of range.
    #[error("there is no data centre {0}")]
    NoDataCentre(usize),
    /// The instance's socket could not be opened again.
    #[error("cannot listen again: {0}")]
    Listen(String),
}

type Done<T> = Result<T, ControlError>;

impl Control {
    pub(crate) fn new(tx: flume::Sender<Command>) -> Self {
        Self(tx)
    }

    fn call<T: Send + 'static>(&self, f: impl FnOnce(&World) -> T + Send + 'static) -> Done<T> {
        let (tx, rx) = flume::bounded(1);
        let command: Command = Box::new(move |world| {
            // The asker waits for the answer below.
            let _ = tx.send(f(world));
            ControlFlow::Continue(())
        });
        self.0.send(command).map_err(|_| ControlError::Stopped)?;
        rx.recv().map_err(|_| ControlError::Stopped)
    }

    fn on<T: Send + 'static>(
        &self,
        instance: &InstanceId,
        f: impl FnOnce(&std::rc::Rc<Server>) -> T + Send + 'static,
    ) -> Done<T> {
        let instance = instance.clone();
        self.call(move |world| {
            let server = world.servers.get(&instance);
            server.map(f).ok_or(ControlError::NoInstance(instance))
        })?
    }

    pub(crate) fn stop(&self) {
        // It may have stopped already.
        let _ = self.0.send(Box::new(|_| ControlFlow::Break(())));
    }

    /// Sets the time between receiving and applying a record.
    pub fn lag(&self, instance: &InstanceId, lag: Duration) -> Done<()> {
        self.on(instance, move |server| server.knobs.borrow_mut().lag = lag)
    }

    /// Sets the time that every statement takes, and a factor on it.
    pub fn service(&self, instance: &InstanceId, service: Duration, slow: f64) -> Done<()> {
        self.on(instance, move |server| {
            let mut knobs = server.knobs.borrow_mut();
            knobs.service = service;
            knobs.slow = slow;
        })
    }

    /// Cuts an instance off its group, and off some or all viewers; it still
    /// believes that it plays the part it played. `None` ends this.
    pub fn isolate(&self, instance: &InstanceId, reach: Option<Reach>) -> Done<()> {
        let id = instance.clone();
        self.call(move |world| world.net.isolate(&id, reach))
    }

    /// Stalls an instance: it takes and answers nothing for this time.
    pub fn pause(&self, instance: &InstanceId, time: Duration) -> Done<()> {
        self.on(instance, move |server| {
            server.knobs.borrow_mut().paused_until = Some(Instant::now() + time);
        })
    }

    /// Ends an instance and all its connections; it keeps its data.
    pub fn kill(&self, instance: &InstanceId) -> Done<()> {
        let id = instance.clone();
        self.on(instance, |server| server.knobs.borrow_mut().alive = false)?;
        self.call(move |world| {
            world.listeners.borrow_mut().shift_remove(&id);
        })
    }

    /// Starts a killed instance at its old address, with its data.
    pub fn restart(&self, instance: &InstanceId) -> Done<()> {
        let id = instance.clone();
        self.call(move |world| {
            let Some(server) = world.servers.get(&id).cloned() else {
                return Err(ControlError::NoInstance(id));
            };
            server.knobs.borrow_mut().alive = true;
            let listener = group::bind(server.address)
                .and_then(|socket| group::Listener::start(server, socket))
                .map_err(|e| ControlError::Listen(e.to_string()))?;
            world.listeners.borrow_mut().insert(id, listener);
            Ok(())
        })?
    }

    /// Makes the connection from this port of its peer silent for good.
    pub fn silence_port(&self, instance: &InstanceId, port: u16) -> Done<()> {
        self.on(instance, move |server| {
            server.knobs.borrow_mut().silent_ports.insert(port);
        })
    }

    /// Makes every connection that is open now silent for good; new ones work.
    pub fn silence_open(&self, instance: &InstanceId) -> Done<()> {
        self.on(instance, |server| {
            let next = server.next_connection();
            server.knobs.borrow_mut().silent_before = next;
        })
    }

    /// Cuts the link from one data centre to another, by index; one way.
    pub fn cut(&self, from: usize, to: usize) -> Done<()> {
        self.call(move |world| {
            let known = world.spec.data_centres.len();
            match [from, to].into_iter().find(|site| *site >= known) {
                Some(site) => Err(ControlError::NoDataCentre(site)),
                None => {
                    world.net.cut(from, to);
                    Ok(())
                }
            }
        })?
    }

    /// Cuts a data centre off all others, both ways.
    pub fn partition(&self, site: usize) -> Done<()> {
        let others = self.call(|world| world.spec.data_centres.len())?;
        for other in (0..others).filter(|other| *other != site) {
            self.cut(site, other)?;
            self.cut(other, site)?;
        }
        Ok(())
    }

    /// Ends every cut and isolation.
    pub fn heal(&self) -> Done<()> {
        self.call(|world| world.net.heal())
    }

    /// Opens a relay to a process, for links between processes of the fleet: a
    /// connection through it is delayed and cut as its two data centres are.
    pub fn relay(&self, target: SocketAddr) -> Done<SocketAddr> {
        self.call(move |world| {
            relay::open(&world.net, target).map_err(|e| ControlError::Listen(e.to_string()))
        })?
    }

    /// Sets what is wrong with the key-value service.
    pub fn store(&self, fault: Fault) -> Done<()> {
        self.call(move |world| world.platform.set_fault(fault))
    }

    /// Calls to the platform so far.
    pub fn store_calls(&self) -> Done<Counts> {
        self.call(|world| world.platform.counts())
    }

    /// Replaces the VM list.
    pub fn vms(&self, vms: Vec<Vm>) -> Done<()> {
        self.call(move |world| world.platform.set_vms(vms))
    }

    /// Bytes carried so far, by regions and purpose.
    pub fn bytes(&self) -> Done<Bytes> {
        self.call(|world| world.net.bytes())
    }

    /// The status of an instance, whatever its links and faults are.
    pub fn status(&self, instance: &InstanceId) -> Done<Status> {
        self.on(instance, |server| server.status())
    }

    /// The log of an instance.
    pub fn log(&self, instance: &InstanceId) -> Done<Vec<Record>> {
        self.on(instance, |server| server.log())
    }

    /// Records that an instance dropped because a promotion left them behind.
    pub fn lost(&self, instance: &InstanceId) -> Done<Vec<Record>> {
        self.on(instance, |server| server.lost())
    }

    /// Reading statements that an instance ran; replication functions do not count.
    pub fn reads(&self, instance: &InstanceId) -> Done<u64> {
        self.on(instance, |server| server.reads())
    }

    /// Ports of the other ends of an instance's open connections, oldest first.
    pub fn ports(&self, instance: &InstanceId) -> Done<Vec<u16>> {
        self.on(instance, |server| {
            server.ports.borrow().iter().copied().collect()
        })
    }

    /// How often an instance executed each writing statement, committed or not.
    pub fn executed(&self, instance: &InstanceId) -> Done<IndexMap<String, u64>> {
        self.on(instance, |server| server.executed())
    }
}
