//! Real controllers as child processes, and a line to one of them that holds packets.

use cleatfold_wire::ControllerId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Operators' settings that every controller gets, if the file is in their directory.
pub const OPERATOR_FILE: &str = "operator.hcl";

pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub struct Controllers {
    program: PathBuf,
    dir: PathBuf,
    ids: Vec<ControllerId>,
    /// Where users and workers reach them.
    pub addresses: Vec<String>,
    /// Where their mesh listeners are.
    pub mesh_addresses: Vec<String>,
    children: Vec<Option<Child>>,
}

/// Different ports that were free a moment ago. All of them are held until the last one is known: a port that is
/// released may be the next one that is given out.
pub fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    let listeners: Vec<std::net::TcpListener> = (0..count)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
        .collect::<std::io::Result<_>>()?;
    listeners.iter().map(|listener| Ok(listener.local_addr()?.port())).collect()
}

/// The controller's program, built beside this one.
fn program() -> std::io::Result<PathBuf> {
    let mine = std::env::current_exe()?;
    let path = mine.parent().unwrap_or(Path::new(".")).join("cleatfold");
    if path.is_file() {
        return Ok(path);
    }
    let why = format!("{} is missing: cargo build --release builds it", path.display());
    Err(std::io::Error::new(std::io::ErrorKind::NotFound, why))
}

/// What the controllers' settings files say of their cluster.
pub struct Layout<'a> {
    pub zones: &'a [String],
    /// Address of the cloud and the state service.
    pub region: &'a str,
    /// The settings from `[[cluster.teams]]` on.
    pub cluster: &'a str,
    /// Where the others reach each controller's mesh listener; empty: at the listener itself.
    pub mesh_entries: &'a [String],
}

impl Controllers {
    /// Writes the settings of `count` controllers into `dir`; none runs yet.
    pub fn prepare(
        dir: PathBuf,
        count: usize,
        region: &str,
        changes: f64,
    ) -> std::io::Result<Self> {
        let cluster = format!(
            "[[cluster.teams]]\nname = \"sweeps\"\n[[cluster.teams]]\nname = \"renders\"\n\
             [cluster.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 40.0\n\
             [cluster.state]\nrps = 1000.0\nwrite_rps = {changes:.1}\nvalue_kb = 16.0\n\
             txn_ops = 16\n[cluster.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n"
        );
        let zones = ZONES.map(String::from);
        let layout = Layout { zones: &zones, region, cluster: &cluster, mesh_entries: &[] };
        Self::laid_out(dir, count, &layout)
    }

    /// Writes the settings of `count` controllers by a layout into `dir`; none runs yet.
    pub fn laid_out(dir: PathBuf, count: usize, layout: &Layout) -> std::io::Result<Self> {
        std::fs::create_dir_all(&dir)?;
        let ids: Vec<ControllerId> =
            (0..count).map(|i| ControllerId::new(format!("lab-{i}"))).collect();
        let ports = free_ports(2 * count)?;
        let ports: Vec<(u16, u16)> = ports.chunks_exact(2).map(|pair| (pair[0], pair[1])).collect();
        let mesh_addresses: Vec<String> =
            ports.iter().map(|p| format!("127.0.0.1:{}", p.1)).collect();
        let (region, cluster) = (layout.region, layout.cluster);
        let zone_of = |i: usize| &layout.zones[i % layout.zones.len()];
        for i in 0..count {
            let members: String = (0..count)
                .filter(|j| *j != i)
                .map(|j| {
                    let (id, zone) = (&ids[j], zone_of(j));
                    let entry = layout.mesh_entries.get(j).unwrap_or(&mesh_addresses[j]);
                    format!("[[members]]\nhost_name = \"{id}\"\narea = \"{zone}\"\nendpoint = \"{entry}\"\n")
                })
                .collect();
            let (id, zone, user) = (&ids[i], zone_of(i), ports[i].0);
            let (mesh, zones) = (&mesh_addresses[i], layout.zones);
            let text = format!(
                "host_name = \"{id}\"\narea = \"{zone}\"\nserve_on = \"127.0.0.1:{user}\"\n\
                 mesh_addr = \"{mesh}\"\n{members}\
                 [endpoints]\ncloud = \"{region}\"\nstate = \"{region}\"\n\
                 [cluster]\nnodes = {count}\nzones = {zones:?}\n{cluster}"
            );
            std::fs::write(dir.join(format!("{id}.toml")), text)?;
        }
        let addresses = ports.iter().map(|p| format!("127.0.0.1:{}", p.0)).collect();
        let children = (0..count).map(|_| None).collect();
        Ok(Self { program: program()?, dir, ids, addresses, mesh_addresses, children })
    }

    /// Process ids of the controllers that were started and not killed.
    pub fn pids(&self) -> Vec<Option<u32>> {
        self.children.iter().map(|child| child.as_ref().map(Child::id)).collect()
    }

    pub fn named(&self) -> Vec<(ControllerId, String)> {
        self.ids.iter().cloned().zip(self.addresses.iter().cloned()).collect()
    }

    pub fn start(&mut self, i: usize) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", self.ids[i])))?;
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(self.dir.join(format!("{}.toml", self.ids[i])));
        let operator = self.dir.join(OPERATOR_FILE);
        if operator.is_file() {
            command.arg("--operator").arg(operator);
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        self.children[i] = Some(child);
        Ok(())
    }

    /// Kill -9.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for i in 0..self.children.len() {
            self.kill(i);
        }
    }
}

/// Passes everything that comes to `listener` on to `to` and counts the bytes, both ways.
pub async fn counting_line(listener: TcpListener, to: String, bytes: Arc<AtomicU64>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(&to).await else { continue };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::task::spawn_local(count(near_read, far_write, bytes.clone()));
        tokio::task::spawn_local(count(far_read, near_write, bytes.clone()));
    }
}

async fn count(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        bytes.fetch_add(n as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}

/// Puts a line before a controller on which a share of the packets is held for up to 3 s, as a
/// cut that ends does. Returns its address.
pub async fn holding_line(to: String, share: f64, seed: u64) -> std::io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::task::spawn_local(async move {
        let mut rng = SmallRng::seed_from_u64(seed);
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(&to).await else { continue };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::task::spawn_local(pass(near_read, far_write, share, rng.random()));
            tokio::task::spawn_local(pass(far_read, near_write, share, rng.random()));
        }
    });
    Ok(address)
}

async fn pass(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    share: f64,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        if rng.random_bool(share) {
            tokio::time::sleep(Duration::from_millis(rng.random_range(100..3000))).await;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
