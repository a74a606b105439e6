//! What processes and threads use, as the kernel tells, and the bounds that a run keeps.

use std::path::Path;

/// Processes that a run may have, itself included.
pub const MOST_PROCESSES: usize = 200;
/// Memory that a run may use on a large machine; on a smaller one it is half of the memory.
const MOST_MB: f64 = 12.0 * 1024.0;
/// Memory to count on for each controller and each hollow worker before a run.
const CONTROLLER_MB: f64 = 150.0;
const WORKER_MB: f64 = 0.3;
/// Ticks a second in `/proc/*/stat`; the same on every Linux that we build for.
const TICKS_PER_S: f64 = 100.0;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu_s: f64,
    pub memory_mb: f64,
}

/// What a process uses; `None` if it is gone.
pub fn of_process(pid: u32) -> Option<Usage> {
    let cpu_s = cpu_s(Path::new(&format!("/proc/{pid}/stat")))?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(Usage { cpu_s, memory_mb: kb_field(&status, "VmRSS:").unwrap_or(0.0) / 1024.0 })
}

/// Processor time of the calling thread.
pub fn of_this_thread() -> f64 {
    cpu_s(Path::new("/proc/thread-self/stat")).unwrap_or(0.0)
}

fn cpu_s(stat: &Path) -> Option<f64> {
    let text = std::fs::read_to_string(stat).ok()?;
    // The name, in brackets, may hold spaces.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let (user, system) = (fields.get(11)?, fields.get(12)?);
    Some((user.parse::<f64>().ok()? + system.parse::<f64>().ok()?) / TICKS_PER_S)
}

fn kb_field(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Memory of the machine: all of it, and what is free for us.
fn memory_mb() -> (f64, f64) {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let field = |name| kb_field(&text, name).unwrap_or(0.0) / 1024.0;
    (field("MemTotal:"), field("MemAvailable:"))
}

/// Memory that a run may use.
pub fn most_mb() -> f64 {
    MOST_MB.min(memory_mb().0 / 2.0)
}

/// Why a run of this size may not begin.
pub fn refusal(controllers: usize, workers: usize) -> Option<String> {
    if controllers + 1 > MOST_PROCESSES {
        return Some(format!(
            "{controllers} controllers and the lab are more than {MOST_PROCESSES} processes"
        ));
    }
    let need = controllers as f64 * CONTROLLER_MB + workers as f64 * WORKER_MB;
    let (most, available) = (most_mb(), memory_mb().1);
    if need > most {
        return Some(format!("needs some {need:.0} MB, more than the {most:.0} MB allowed"));
    }
    (need > available).then(|| format!("needs some {need:.0} MB, {available:.0} MB are free"))
}

/// Why a run has to end: what its processes use by now.
pub fn excess(pids: &[u32]) -> Option<String> {
    let own = std::process::id();
    let used: f64 =
        pids.iter().chain([&own]).filter_map(|p| of_process(*p)).map(|u| u.memory_mb).sum();
    let most = most_mb();
    if used > most {
        return Some(format!("{used:.0} MB are used, more than the {most:.0} MB allowed"));
    }
    (pids.len() + 1 > MOST_PROCESSES).then(|| format!("more than {MOST_PROCESSES} processes"))
}
