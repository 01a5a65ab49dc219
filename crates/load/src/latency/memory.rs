//! Memory of idle caller connections, in a proxy process of its own.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{fs, io};

use miette::{IntoDiagnostic as _, miette};

use crate::client::{Client, Login};
use crate::report::Table;

/// Longest wait for the process to accept callers.
const START: Duration = Duration::from_secs(20);

/// A proxy process; it ends with the measurement.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Opens idle connections in steps and reads the process's memory at each.
pub(super) async fn measure(spec: &standin::Spec, most: u32) -> miette::Result<Table> {
    let stand_ins = standin::Fleet::start(spec.clone()).into_diagnostic()?;
    let (mut cfg, _document) = super::config(&stand_ins).into_diagnostic()?;
    cfg.listen = free_address().into_diagnostic()?;
    let settings = tempfile::NamedTempFile::new().into_diagnostic()?;
    serde_json::to_writer(&settings, &cfg).into_diagnostic()?;
    let process = start(settings.path()).into_diagnostic()?;
    let login = login(cfg.listen);
    wait(&login).await?;
    let mut table = Table::new("idle callers", &["connections", "KB in all", "KB each"]);
    let (mut held, mut first) = (Vec::new(), 0);
    for step in [0, most / 10, most] {
        while held.len() < step as usize {
            let mut client = Client::connect(&login).await.into_diagnostic()?;
            client.query("SELECT 1").await.into_diagnostic()?;
            held.push(client);
        }
        let memory = resident(process.0.id()).into_diagnostic()?;
        if step == 0 {
            first = memory;
        }
        let each = memory.saturating_sub(first) as f64 / f64::from(step.max(1));
        table.row([step.to_string(), memory.to_string(), format!("{each:.1}")]);
    }
    Ok(table)
}

fn free_address() -> io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn start(settings: &std::path::Path) -> io::Result<Process> {
    let program = std::env::current_exe()?.with_file_name("pomelo-proxy");
    let process = Command::new(program)
        .arg("--config")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    process.map(Process)
}

fn login(address: SocketAddr) -> Login {
    Login {
        address,
        source: None,
        user: "app".to_owned(),
        database: "g1".to_owned(),
        session: None,
    }
}

async fn wait(login: &Login) -> miette::Result<()> {
    let end = Instant::now() + START;
    while Instant::now() < end {
        if Client::connect(login).await.is_ok() {
            return Ok(());
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(miette!("the proxy process does not accept callers"))
}

/// Resident memory of a process in KB.
fn resident(pid: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    Ok(figure.unwrap_or(0))
}
