//! Proxies that run as separate processes.

use std::fs::File;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::Instant;

use rustix::fs::{CWD, FileType, Mode, mknodat};
use rustix::process::{Pid, Signal, kill_process};
use standin::managed::Managed;

use super::settings;

/// Settings for which a process waits.
pub(crate) struct PendingSettings {
    settings: serde_json::Value,
    pipe: File,
}

impl PendingSettings {
    pub(crate) fn send(mut self) {
        let text = self.settings.to_string();
        self.pipe.write_all(text.as_bytes()).unwrap();
    }
}

/// A proxy process; killed when dropped.
pub(crate) struct Proxy {
    /// The address on which it accepts callers.
    pub(crate) listen: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
    /// Beginning and end of each kill of a process that had not exited by itself.
    kills: Mutex<Vec<(Instant, Instant)>>,
}

impl Proxy {
    pub(crate) fn start(managed: &Managed, folder: &Path, name: &str) -> Self {
        Self::start_with(managed, folder, name, |_| {})
    }

    /// Starts a process with settings that `change` has modified.
    pub(crate) fn start_with(
        managed: &Managed,
        folder: &Path,
        name: &str,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        let (mut settings, listen) = settings(managed, name);
        change(&mut settings);
        let file = folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let log = folder.join(format!("{name}.log"));
        Self::spawn(listen, file, log)
    }

    /// Starts a process that waits for its settings until the result sends them.
    pub(crate) fn start_paused(
        managed: &Managed,
        folder: &Path,
        name: &str,
    ) -> (Self, PendingSettings) {
        let (settings, listen) = settings(managed, name);
        let file = folder.join(format!("{name}.jsonc"));
        mknodat(CWD, &file, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
        let log = folder.join(format!("{name}.log"));
        let proxy = Self::spawn(listen, file.clone(), log);
        // Completes once the process has opened the file.
        let pipe = File::options().write(true).open(&file).unwrap();
        (proxy, PendingSettings { settings, pipe })
    }

    fn spawn(listen: SocketAddr, file: PathBuf, log: PathBuf) -> Self {
        let child = Mutex::new(spawn(&file, &log));
        Self {
            listen,
            file,
            log,
            child,
            kills: Mutex::default(),
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child.lock().unwrap());
        // Fails if the process has just exited, which is harmless.
        let _ = kill_process(pid, signal);
    }

    /// Waits until the process has exited by itself, and returns how.
    pub(crate) fn wait_for_exit(&self) -> ExitStatus {
        super::wait(|| self.exited())
    }

    /// How the process has exited; `None` if it runs.
    pub(crate) fn exited(&self) -> Option<ExitStatus> {
        self.child.lock().unwrap().try_wait().unwrap()
    }

    /// Whether a process of it was killed between two moments.
    pub(crate) fn was_killed(&self, from: Instant, to: Instant) -> bool {
        let kills = self.kills.lock().unwrap();
        kills
            .iter()
            .any(|(begun, done)| *begun <= to && *done >= from)
    }

    /// What the process has logged.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Starts a new process, and kills the old one if it runs.
    pub(crate) fn restart(&self) {
        let mut child = self.child.lock().unwrap();
        if child.try_wait().unwrap().is_none() {
            let begun = Instant::now();
            child.kill().unwrap();
            child.wait().unwrap();
            let kill = (begun, Instant::now());
            self.kills.lock().unwrap().push(kill);
        }
        *child = spawn(&self.file, &self.log);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn spawn(file: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_pomelo-front"))
        .arg("--config")
        .arg(file)
        .stdout(Stdio::from(log.try_clone().unwrap()))
        .stderr(Stdio::from(log))
        .spawn()
        .unwrap()
}
