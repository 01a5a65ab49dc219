//! The whole path as separate processes: stand-ins, `pomelo-ctl apply`, two proxies.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use compio::time;
use load::client::{Client, Login};
use standin::admin::Order;
use standin::link::Reach;

const TRIES: u32 = 100;
const PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// A program of this workspace, which `./test` has built; ended when dropped.
struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let folder = test.ancestors().nth(2).unwrap();
    let path = folder.join(name);
    assert!(
        path.exists(),
        "build the workspace's programs first: {}",
        path.display()
    );
    path
}

/// What the stand-ins print once they run.
#[derive(serde::Deserialize)]
struct Printed {
    config: serde_json::Value,
    platform: indexmap::IndexMap<String, SocketAddr>,
}

/// The running processes and the files that they read.
struct Env {
    folder: tempfile::TempDir,
    printed: Printed,
    admin: SocketAddr,
    proxies: Vec<(Process, SocketAddr)>,
    _stand_ins: Process,
}

impl Env {
    fn start() -> Self {
        let mut child = Command::new(program("pomelo-standin"))
            .args(["--admin", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stdout = child.stdout.take().unwrap();
        let mut documents = serde_json::Deserializer::from_reader(stdout).into_iter();
        let printed = documents.next().unwrap().unwrap();
        let admin = logged(&mut child, "address=");
        Self {
            folder: tempfile::tempdir().unwrap(),
            printed,
            admin,
            proxies: Vec::new(),
            _stand_ins: Process { child },
        }
    }

    fn store(&self, centre: &str) -> String {
        format!("http://{}", self.printed.platform[centre])
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        let mut file = std::fs::File::create(&path).unwrap();
        file.write_all(text.as_bytes()).unwrap();
        path
    }

    fn apply(&self) -> Option<i32> {
        let fleet = self.write("fleet.jsonc", &self.printed.config.to_string());
        let ctl = Command::new(program("pomelo-ctl"))
            .args(["--store", &self.store("dc1"), "apply"])
            .arg(fleet)
            .output();
        ctl.unwrap().status.code()
    }

    fn proxy(&mut self, centre: &str, ip: &str) {
        let settings = format!(
            r#"{{
                // One proxy of the test.
                "data_centre": "{centre}",
                "address": "{ip}",
                "listen": "{ip}:0",
                "peer_listen": "{ip}:0",
                "store": ["{}"],
                "secret": "processes",
            }}"#,
            self.store(centre)
        );
        let path = self.write(&format!("{centre}.jsonc"), &settings);
        let mut child = Command::new(program("pomelo-proxy"))
            .arg("--config")
            .arg(path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let address = logged(&mut child, "listen=");
        self.proxies.push((Process { child }, address));
    }

    fn login(&self, proxy: usize, session: Option<String>) -> Login {
        Login {
            address: self.proxies[proxy].1,
            source: None,
            user: "app".to_owned(),
            database: "g1".to_owned(),
            session,
        }
    }

    async fn order(&self, order: &Order) {
        let url = format!("http://{}/order", self.admin);
        let req = cyper::Client::new()
            .unwrap()
            .post(url)
            .unwrap()
            .json(order)
            .unwrap();
        assert!(req.send().await.unwrap().status().is_success());
    }
}

/// Reads a process's log up to the first line with `key` and returns the address there.
/// The rest of the log is read and dropped, so that the process never blocks on it.
fn logged(child: &mut Child, key: &str) -> SocketAddr {
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    let address = loop {
        line.clear();
        assert!(
            log.read_line(&mut line).unwrap() > 0,
            "the process ended early"
        );
        let found = line
            .split_whitespace()
            .find_map(|word| word.strip_prefix(key));
        if let Some(address) = found {
            break address.parse().unwrap();
        }
    };
    std::thread::spawn(move || log.read_to_end(&mut Vec::new()));
    address
}

/// Runs a write again until it is known to have run. The statements are idempotent.
async fn write(client: &mut Client, sql: &str) {
    for _ in 0..TRIES {
        if client.query(sql).await.is_ok() {
            return;
        }
        time::sleep(PAUSE).await;
    }
    panic!("no write ran: {sql}");
}

async fn connect(login: Login) -> Client {
    for _ in 0..TRIES {
        if let Ok(client) = Client::connect(&login).await {
            return client;
        }
        time::sleep(PAUSE).await;
    }
    panic!("the proxy accepts no caller");
}

// A session writes through one proxy and reads its write through another one in another
// data centre. Then the primary's network fails, the session writes through the second
// proxy and reads through the first. At the end both proxies are told to stop.
#[compio::test]
async fn a_session_roams_between_processes_and_survives_its_primary() {
    let mut env = Env::start();
    assert_eq!(env.apply(), Some(0));
    env.proxy("dc1", "127.0.1.10");
    env.proxy("dc2", "127.0.2.10");

    let mut first = connect(env.login(0, None)).await;
    write(
        &mut first,
        "CREATE TABLE IF NOT EXISTS fee (id INTEGER PRIMARY KEY)",
    )
    .await;
    write(&mut first, "INSERT OR IGNORE INTO fee VALUES (1)").await;
    let token = first.session().map(str::to_owned);
    assert!(token.is_some(), "a write reports the session's token");
    let mut second = connect(env.login(1, token)).await;
    let rows = second.query("SELECT id FROM fee").await.unwrap();
    assert_eq!(rows, [[Some("1".to_owned())]]);

    let isolate = Order::Isolate {
        instance: "g1-1".parse().unwrap(),
        reach: Some(Reach::Nobody),
    };
    env.order(&isolate).await;
    write(&mut second, "INSERT OR IGNORE INTO fee VALUES (2)").await;
    let token = second.session().map(str::to_owned);
    let mut first = connect(env.login(0, token)).await;
    let rows = first.query("SELECT id FROM fee ORDER BY id").await.unwrap();
    assert_eq!(rows, [[Some("1".to_owned())], [Some("2".to_owned())]]);

    drop((first, second));
    for (process, _) in &mut env.proxies {
        let id = process.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .unwrap()
                .success()
        );
        assert_eq!(process.child.wait().unwrap().code(), Some(0));
    }
}

// An operator applies a configuration in which an exception gives no reason.
#[test]
fn a_faulty_configuration_is_refused_with_its_place() {
    let env = Env::start();
    let mut config = env.printed.config.clone();
    config["exceptions"] =
        serde_json::json!([{ "group": "g1", "set": { "slots": 4 }, "reason": "" }]);
    let path = env.write("fleet.jsonc", &config.to_string());
    let ctl = Command::new(program("pomelo-ctl"))
        .args(["--store", &env.store("dc1"), "apply"])
        .arg(path)
        .output()
        .unwrap();
    assert_eq!(ctl.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&ctl.stderr).contains("reason"));
}
