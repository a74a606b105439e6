//! The testbed's command line.

use clap::{Parser, Subcommand};
use cleatfold_testbed::{capacity, days, elastic, images, scale, team};
use std::process::ExitCode;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::prelude::*;

#[derive(Parser)]
#[command(name = "cleatfold-testbed", version, about = "A region on loopback, and experiments")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Bring up three controllers and a fake region; Ctrl-C stops all.
    Up {
        /// Machines that the region has.
        #[arg(long, default_value_t = 4)]
        machines: usize,
    },
    /// Grow and shrink a sweep while renders arrive.
    Elastic(elastic::Plan),
    /// Changes a job, calls, and processor time at several sizes, in simulated time.
    Scale(scale::Plan),
    /// What the controllers use at several sizes: real processes, hollow workers, on loopback.
    Capacity(capacity::Plan),
    /// A team's jobs, queue or history as a table: team ADDRESS TEAM [jobs|queue|history].
    Team(team::Question),
    /// Many machines want one large image, while controllers are killed, in simulated time.
    #[command(name = "weights")]
    Images(images::Plan),
    /// Seeded days with several controllers failing at once and every trouble drawn, in
    /// simulated time, watched for all rules.
    Region(days::Plan),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Command::Capacity(plan) = &cli.command {
        if let Err(why) = plan.check() {
            eprintln!("cleatfold-testbed: {why}");
            return ExitCode::from(2);
        }
    }
    // The controllers of a simulated region are part of this process: only our own lines.
    let ours = Targets::new().with_target("cleatfold_testbed", LevelFilter::INFO);
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    tracing_subscriber::registry().with(lines.with_filter(ours)).init();
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        eprintln!("cleatfold-testbed: no runtime");
        return ExitCode::FAILURE;
    };
    let done = tokio::task::LocalSet::new().block_on(&runtime, async {
        match cli.command {
            Command::Up { machines } => up(machines).await.map(|()| true),
            Command::Elastic(plan) => {
                let json = plan.json.clone();
                let results = elastic::run(plan).await?;
                let text = serde_json::to_string_pretty(&results)?;
                println!("{text}");
                if let Some(path) = json {
                    std::fs::write(path, text)?;
                }
                Ok(conclude(&results.checks))
            }
            Command::Capacity(plan) => {
                let results = capacity::run(&plan).await?;
                println!("{}", results.table());
                if let Some(path) = &plan.json {
                    std::fs::write(path, serde_json::to_string_pretty(&results)?)?;
                }
                Ok(conclude(&results.checks))
            }
            Command::Scale(plan) => scale::run(&plan).map(|()| true),
            Command::Team(question) => team::run(&question).await.map(|()| true),
            Command::Images(plan) => {
                let results = images::run(&plan)?;
                let text = serde_json::to_string_pretty(&results)?;
                println!("{text}");
                if let Some(path) = &plan.json {
                    std::fs::write(path, text)?;
                }
                Ok(conclude(&results.checks))
            }
            Command::Region(plan) => Ok(days::run(&plan)),
        }
    });
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            let error: std::io::Error = error;
            eprintln!("cleatfold-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn conclude(checks: &[(String, bool)]) -> bool {
    for (what, passed) in checks {
        println!("{} {what}", if *passed { "passed" } else { "FAILED" });
    }
    let passed = checks.iter().filter(|c| c.1).count();
    println!("{passed} passed, {} failed", checks.len() - passed);
    passed == checks.len()
}

async fn up(machines: usize) -> std::io::Result<()> {
    let dir = std::env::temp_dir().join(format!("cleatfold-testbed-{}", std::process::id()));
    let up = elastic::Up::start(dir.clone(), 3, machines, None).await?;
    let mut sweep = elastic::job(1, "sweeps", cleatfold_wire::job::Urgency::Normal, 2.0, 10.0);
    sweep.tasks = 6;
    sweep.elastic = Some(cleatfold_wire::job::Elastic { steps: 40, min_members: 1, step_s: 2.0 });
    up.submit(&sweep).await?;
    println!(
        "three controllers serve at {}; logs and settings in {}",
        up.entries.join(", "),
        dir.display()
    );
    println!("an elastic sweep of 40 steps runs. See how far it is, and cancel it:");
    println!("  curl http://{}/v1/jobs/{}", up.entries[0], sweep.id);
    println!("  curl -X POST http://{}/v1/jobs/{}/withdraw", up.entries[0], sweep.id);
    println!("docs/elastic.md has a submission. Ctrl-C stops everything.");
    tokio::signal::ctrl_c().await?;
    println!("stopping");
    Ok(())
}
