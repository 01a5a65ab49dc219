//! The same faults and observations as JSON over HTTP, for stand-ins that run
//! as a process of their own.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use indexmap::IndexMap;
use model::id::InstanceId;
use model::unit::Span;
use serde_json::{Value, json};

use crate::control::{Control, ControlError};
use crate::fleet::Fleet;
use crate::link::Reach;
use crate::platform::{Fault, Vm};

/// One change to the running stand-ins.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Order {
    /// See [`Control::lag`].
    Lag {
        /// Which instance.
        instance: InstanceId,
        /// Time between receiving and applying.
        lag: Span,
    },
    /// See [`Control::service`].
    Service {
        /// Which instance.
        instance: InstanceId,
        /// Time that every statement takes.
        service: Span,
        /// Factor on it.
        #[serde(default = "one")]
        slow: f64,
    },
    /// See [`Control::isolate`].
    Isolate {
        /// Which instance.
        instance: InstanceId,
        /// Who still reaches it; nothing ends the isolation.
        #[serde(default)]
        reach: Option<Reach>,
    },
    /// See [`Control::pause`].
    Pause {
        /// Which instance.
        instance: InstanceId,
        /// For how long.
        time: Span,
    },
    /// See [`Control::kill`].
    Kill {
        /// Which instance.
        instance: InstanceId,
    },
    /// See [`Control::restart`].
    Restart {
        /// Which instance.
        instance: InstanceId,
    },
    /// See [`Control::silence_port`].
    SilencePort {
        /// Which instance.
        instance: InstanceId,
        /// Port of the connection's other end.
        port: u16,
    },
    /// See [`Control::silence_open`].
    SilenceOpen {
        /// Which instance.
        instance: InstanceId,
    },
    /// See [`Control::cut`].
    Cut {
        /// Data centre that sends, counted from 0.
        from: usize,
        /// Data centre that receives.
        to: usize,
    },
    /// See [`Control::partition`].
    Partition {
        /// Data centre, counted from 0.
        site: usize,
    },
    /// See [`Control::heal`].
    Heal,
    /// See [`Control::store`].
    Store {
        /// What is wrong.
        fault: Fault,
    },
    /// See [`Control::vms`].
    Vms {
        /// The new list.
        vms: Vec<Vm>,
    },
}

fn one() -> f64 {
    1.0
}

impl Control {
    /// Carries out one order.
    pub fn order(&self, order: Order) -> Result<(), ControlError> {
        match order {
            Order::Lag { instance, lag } => self.lag(&instance, lag.as_duration()),
            Order::Service {
                instance,
                service,
                slow,
            } => self.service(&instance, service.as_duration(), slow),
            Order::Isolate { instance, reach } => self.isolate(&instance, reach),
            Order::Pause { instance, time } => self.pause(&instance, time.as_duration()),
            Order::Kill { instance } => self.kill(&instance),
            Order::Restart { instance } => self.restart(&instance),
            Order::SilencePort { instance, port } => self.silence_port(&instance, port),
            Order::SilenceOpen { instance } => self.silence_open(&instance),
            Order::Cut { from, to } => self.cut(from, to),
            Order::Partition { site } => self.partition(site),
            Order::Heal => self.heal(),
            Order::Store { fault } => self.store(fault),
            Order::Vms { vms } => self.vms(vms),
        }
    }
}

#[derive(Clone)]
struct Admin {
    control: Control,
    /// Addresses and a matching configuration.
    start: Arc<Value>,
}

/// Serves orders and observations until the process ends.
pub async fn serve(fleet: &Fleet, address: SocketAddr) -> std::io::Result<()> {
    let listener = compio::net::TcpListener::bind(address).await?;
    tracing::info!(address = %listener.local_addr()?, "admin listens");
    let admin = Admin {
        control: fleet.control(),
        start: Arc::new(overview(fleet)),
    };
    let router = Router::new()
        .route(
            "/",
            get(async |State(admin): State<Admin>| Json((*admin.start).clone())),
        )
        .route("/order", post(order))
        .route("/traffic", get(traffic))
        .route("/instances/{id}", get(instance))
        .with_state(admin);
    cyper_axum::serve(listener, router).await
}

/// Addresses of everything, and a configuration that fits.
pub fn overview(fleet: &Fleet) -> Value {
    let addresses = fleet.addresses();
    let instances: IndexMap<_, _> = addresses
        .instances
        .iter()
        .map(|(id, placed)| {
            (
                id,
                json!({ "group": placed.group, "address": placed.address }),
            )
        })
        .collect();
    json!({
        "instances": instances,
        "platform": addresses.platform,
        "config": fleet.document(),
    })
}

type Reply = Result<Json<Value>, (StatusCode, String)>;

fn refused(e: &ControlError) -> (StatusCode, String) {
    (StatusCode::UNPROCESSABLE_ENTITY, e.to_string())
}

async fn order(State(admin): State<Admin>, Json(order): Json<Order>) -> Reply {
    admin.control.order(order).map_err(|e| refused(&e))?;
    Ok(Json(json!({})))
}

async fn traffic(State(admin): State<Admin>) -> Reply {
    let bytes = admin.control.bytes().map_err(|e| refused(&e))?;
    let calls = admin.control.store_calls().map_err(|e| refused(&e))?;
    let bytes: Vec<Value> = bytes
        .iter()
        .map(|(flow, n)| json!({ "flow": flow, "bytes": n }))
        .collect();
    let calls: Vec<Value> = calls
        .iter()
        .map(|((data_centre, call), n)| json!({ "from": data_centre, "call": call, "count": n }))
        .collect();
    Ok(Json(json!({ "bytes": bytes, "calls": calls })))
}

async fn instance(State(admin): State<Admin>, Path(id): Path<InstanceId>) -> Reply {
    let status = admin.control.status(&id).map_err(|e| refused(&e))?;
    let executed = admin.control.executed(&id).map_err(|e| refused(&e))?;
    let lost = admin.control.lost(&id).map_err(|e| refused(&e))?.len();
    Ok(Json(
        json!({ "status": status, "executed": executed, "lost": lost }),
    ))
}
