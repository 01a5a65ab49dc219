//! One environment for the tests: stand-ins, proxies before them, ordinary clients.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::io::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use model::config;
use model::id::InstanceId;
use postgres::{Client, Config, NoTls, SimpleQueryMessage};
use proxy::config::{Builder, Config as Settings};
use proxy::run::Embedded;
use standin::{Control, Fleet, Spec};

/// Stand-ins, and proxies that read their configuration from a file.
pub(crate) struct Env {
    pub(crate) proxies: Vec<Embedded>,
    pub(crate) fleet: Fleet,
    file: tempfile::NamedTempFile,
}

/// What a test changes before the proxies start.
pub(crate) struct Setup {
    pub(crate) spec: Spec,
    pub(crate) proxies: usize,
    pub(crate) document: fn(&mut config::Fleet),
    pub(crate) settings: fn(Builder) -> Builder,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            spec: Spec::small(),
            proxies: 1,
            document: |_| {},
            settings: |builder| builder,
        }
    }
}

impl Env {
    pub(crate) fn start() -> Self {
        Self::with(Setup::default())
    }

    pub(crate) fn with(setup: Setup) -> Self {
        let fleet = Fleet::start(setup.spec).expect("the stand-ins start");
        let mut document = fleet.document();
        (setup.document)(&mut document);
        let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
        let text = serde_json::to_string(&document).expect("a document is JSON");
        file.write_all(text.as_bytes())
            .expect("the file is written");
        let mut env = Self {
            proxies: Vec::new(),
            fleet,
            file,
        };
        for _ in 0..setup.proxies {
            let proxy = Embedded::start((setup.settings)(env.settings()).build());
            env.proxies.push(proxy.expect("the proxy starts"));
        }
        env
    }

    pub(crate) fn settings(&self) -> Builder {
        let first = &self.fleet.addresses().instances[0];
        Settings::builder(first.data_centre.clone(), "a secret of the fleet")
            .fleet_file(self.file.path().to_owned())
    }

    pub(crate) fn control(&self) -> Control {
        self.fleet.control()
    }

    /// The instances of the group; the first is its primary.
    pub(crate) fn instances(&self) -> Vec<InstanceId> {
        self.fleet.addresses().instances.keys().cloned().collect()
    }

    pub(crate) fn address(&self, proxy: usize) -> SocketAddr {
        self.proxies[proxy].address()
    }

    /// Logs in at a proxy as `app`.
    pub(crate) fn connect(&self, proxy: usize) -> Client {
        self.login(proxy)
            .connect(NoTls)
            .expect("the proxy accepts the caller")
    }

    pub(crate) fn login(&self, proxy: usize) -> Config {
        login_at(self.address(proxy))
    }
}

/// How to log in as `app` at this address.
pub(crate) fn login_at(address: SocketAddr) -> Config {
    let mut login = Config::new();
    login
        .host(&address.ip().to_string())
        .port(address.port())
        .user("app")
        .dbname("g1")
        .connect_timeout(Duration::from_secs(10));
    login
}

/// Values of the first column that a simple query answers.
pub(crate) fn column(client: &mut Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).expect("the query runs");
    messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        })
        .collect()
}

/// SQLSTATE of an error, empty when the connection itself failed.
pub(crate) fn code(e: &postgres::Error) -> String {
    e.code().map(|c| c.code().to_owned()).unwrap_or_default()
}
