//! The capacity run: its arguments, the line through its figures, its traffic, and a small run
//! with real controllers that leaves nothing behind.

use cleatfold_testbed::capacity::hollow::TaskEvent;
use cleatfold_testbed::capacity::slope::Line;
use cleatfold_testbed::capacity::traffic::Traffic;
use cleatfold_testbed::capacity::usage;
use cleatfold_testbed::capacity::watch::Watch;
use cleatfold_testbed::controllers::free_ports;
use cleatfold_wire::{MachineId, TaskId, TaskIx};
use std::collections::BTreeSet;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TESTBED: &str = env!("CARGO_BIN_EXE_cleatfold-testbed");

fn testbed(arguments: &str) -> Command {
    let mut command = Command::new(TESTBED);
    command.arg("capacity").args(arguments.split_whitespace()).stdin(Stdio::null());
    command
}

/// The controllers' program beside the lab's; built first if only this crate was built.
fn with_controllers() {
    let program = Path::new(TESTBED).with_file_name("cleatfold");
    if !program.is_file() {
        let built = Command::new(env!("CARGO"))
            .args(["build", "--locked", "--offline", "-p", "cleatfold"])
            .status();
        assert!(built.is_ok_and(|status| status.success()), "the controllers were not built");
    }
}

#[test]
fn wrong_arguments_are_named_and_end_with_status_2() {
    for (arguments, named) in [
        ("--workers 0", "--workers"),
        ("--workers ten", "--workers"),
        ("--workers 100000", "--workers"),
        ("--teams 0", "--teams"),
        ("--starts 0", "--starts"),
        ("--starts nan", "--starts"),
        ("--seconds -1", "--seconds"),
        ("--controllers 200", "--controllers"),
        ("--hollow-threads 0", "--hollow-threads"),
        ("--sizes 10", "--sizes"),
    ] {
        let output = testbed(arguments).output().expect("the lab runs");
        assert_eq!(output.status.code(), Some(2), "{arguments}");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(error.contains(named), "{arguments}: {error}");
        assert!(output.stdout.is_empty(), "{arguments}");
    }
}

#[test]
fn a_run_too_large_for_its_bounds_is_refused() {
    assert!(usage::refusal(2, 12).is_none());
    let many = usage::refusal(usage::MOST_PROCESSES, 12).expect("a refusal");
    assert!(many.contains("processes"), "{many}");
    let large = usage::refusal(8, 100_000_000).expect("a refusal");
    assert!(large.contains("MB"), "{large}");
    let pids: Vec<u32> = vec![0; usage::MOST_PROCESSES];
    assert!(usage::excess(&pids).expect("an excess").contains("processes"));
    assert!(usage::excess(&[]).is_none());
}

#[test]
fn a_line_has_the_slope_and_errors_of_known_data() {
    let exact: Vec<(f64, f64)> =
        (1..=4).map(|x| (f64::from(x), 3.0 + 2.0 * f64::from(x))).collect();
    let line = Line::fit(&exact).expect("a line");
    assert!((line.slope - 2.0).abs() < 1e-12 && (line.intercept - 3.0).abs() < 1e-12, "{line:?}");
    assert!(line.slope_error < 1e-9 && line.r_squared > 1.0 - 1e-12, "{line:?}");
    assert!((line.at(10.0) - 23.0).abs() < 1e-9);
    // Worked out by hand: means 2.5 and 4.75, sums of squares 5 and 20.75, of products 9.5;
    // residuals 0.1, -0.8, 1.3, -0.6 (sum of squares 2.7).
    let known = [(1.0, 2.0), (2.0, 3.0), (3.0, 7.0), (4.0, 7.0)];
    let line = Line::fit(&known).expect("a line");
    assert!((line.slope - 1.9).abs() < 1e-12 && line.intercept.abs() < 1e-12, "{line:?}");
    assert!((line.slope_error - (1.35_f64 / 5.0).sqrt()).abs() < 1e-12, "{line:?}");
    assert!((line.intercept_error - (1.35_f64 * 1.5).sqrt()).abs() < 1e-12, "{line:?}");
    assert!((line.r_squared - (1.0 - 2.7 / 20.75)).abs() < 1e-12, "{line:?}");
    assert_eq!(Line::fit(&known[..2]), None);
    assert_eq!(Line::fit(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
}

#[test]
fn the_traffic_has_the_shape_that_is_planned_for() {
    let traffic = Traffic::new(7, 5800, 330, 1000.0);
    let (mut tasks, mut work_s, mut urgent) = (0.0, 0.0, 0);
    let jobs = 4000;
    let mut teams = std::collections::BTreeMap::new();
    for number in 1..=jobs {
        let job = traffic.job(number);
        assert_eq!(job.id, traffic.job(number).id);
        tasks += f64::from(job.tasks);
        work_s += f64::from(job.tasks) * job.estimate_s;
        urgent += u32::from(cleatfold_testbed::capacity::traffic::is_urgent(&job));
        *teams.entry(job.team).or_insert(0) += 1;
    }
    assert_eq!(urgent, jobs as u32 / 2);
    assert!((work_s / tasks - 7.5).abs() < 0.4, "{} s a task", work_s / tasks);
    assert!((tasks / jobs as f64 / traffic.mean_tasks() - 1.0).abs() < 0.1);
    // Shares are very uneven, and yet nearly every team has work.
    assert!(teams.len() > 300, "{} teams", teams.len());
    let largest = teams.values().max().expect("a team");
    assert!((0.12..0.20).contains(&(f64::from(*largest) / jobs as f64)), "{largest}");
    assert_eq!(traffic.limits().len(), 330);
}

#[test]
fn waits_of_any_length_are_counted_as_they_were() {
    let traffic = Arc::new(Traffic::new(1, 100, 5, 20.0));
    let mut watch = Watch::new(traffic.clone());
    let job = (2..).step_by(2).map(|number| traffic.job(number)).find(|job| job.tasks == 2);
    let job = job.expect("an urgent job of two tasks");
    watch.submitted(&job);
    for (ix, wait_s) in [(0, 1), (1, 100)] {
        let task = TaskId { job: job.id.clone(), ix: TaskIx(ix) };
        let at = tokio::time::Instant::now() + Duration::from_secs(wait_s);
        watch.note(TaskEvent::Started { task, machine: MachineId::new("vm-1"), at });
    }
    assert_eq!((watch.urgent_wait.len(), watch.started), (1, 2));
    let wait = watch.urgent_wait.max();
    assert!((99_900..100_200).contains(&wait), "{wait}");
    assert!(watch.broken.is_empty(), "{:?}", watch.broken);
}

/// Processes that have `text` in their command line.
fn with_command_line(text: &str) -> usize {
    let processes = std::fs::read_dir("/proc").expect("a /proc").flatten();
    let lines = processes.filter_map(|p| std::fs::read(p.path().join("cmdline")).ok());
    lines.filter(|line| String::from_utf8_lossy(line).contains(text)).count()
}

fn directories(text: &str) -> usize {
    let entries = std::fs::read_dir(std::env::temp_dir()).expect("a directory").flatten();
    entries.filter(|entry| entry.file_name().to_string_lossy().contains(text)).count()
}

const SMALL: &str = "--workers 12 --controllers 2 --teams 5 --starts 30 --array-tasks 10 \
                     --report-s 1 --hollow-threads 1";

#[test]
fn a_small_run_passes_and_leaves_nothing_behind() {
    with_controllers();
    let json = std::env::temp_dir().join(format!("capacity-test-{}.json", std::process::id()));
    let mut run = testbed(SMALL);
    run.args(["--warm-s", "5", "--seconds", "5", "--calm", "--json"]).arg(&json);
    let run = run.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("the lab runs");
    let own = format!("cleatfold-capacity-{}-", run.id());
    let output = run.wait_with_output().expect("an end");
    let told = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{told}\n{errors}");
    assert!(told.ends_with("3 passed, 0 failed\n"), "{told}");
    assert!(errors.contains("tasks run"), "no progress: {errors}");
    assert_eq!((with_command_line(&own), directories(&own)), (0, 0));
    let text = std::fs::read_to_string(&json).expect("results");
    let results: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    std::fs::remove_file(&json).expect("removed");
    let size = &results["sizes"][0];
    assert!(size["starts_per_s"].as_f64() > Some(1.0), "{size:#}");
    assert!(size["controller_mb"].as_f64() > Some(2.0), "{size:#}");
    assert!(size["mesh_kb_per_s"].as_f64() > Some(0.0), "{size:#}");
    assert_eq!(size["submissions_given_up"], 0, "{size:#}");
}

/// Guards against two controllers of one run being given the same port: one of them could not start, and the run waited for
/// it in vain.
#[test]
fn controllers_get_different_ports() {
    const PORTS: usize = 400;
    let ports = free_ports(PORTS).expect("so many are free");
    let different: BTreeSet<u16> = ports.into_iter().collect();
    assert_eq!(different.len(), PORTS);
}

fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    let since = Instant::now();
    while !is_so() {
        assert!(since.elapsed() < Duration::from_secs(20), "{what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn interrupt(run: &Child) {
    let status = Command::new("kill").args(["-INT", &run.id().to_string()]).status();
    assert!(status.is_ok_and(|status| status.success()));
}

#[test]
fn an_interrupted_run_leaves_nothing_behind() {
    with_controllers();
    let run = testbed(SMALL).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("it runs");
    let own = format!("cleatfold-capacity-{}-", run.id());
    wait_until("no controllers came", || with_command_line(&own) == 2);
    interrupt(&run);
    let output = run.wait_with_output().expect("an end");
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("cleatfold-testbed: interrupted"), "{errors}");
    assert_eq!((with_command_line(&own), directories(&own)), (0, 0));
}
