//! Command line of the controller.

#![warn(
    missing_docs,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::too_many_lines,
    clippy::unwrap_used
)]

mod actor;
mod operator_settings;
mod serve;
mod settings;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::prelude::*;

#[derive(Parser)]
#[command(name = "cleatfold", version, about = "A cluster scheduler")]
struct Cli {
    /// Serve with this settings file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (HCL).
    #[arg(long, value_name = "FILE.hcl")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and exit.
    Check {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        #[arg(long, value_name = "FILE.hcl")]
        operator: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (path, operator, serve) = match (&cli.config, &cli.command) {
        (_, Some(Command::Check { config, operator })) => (config, operator, false),
        (Some(config), None) => (config, &cli.operator, true),
        (None, None) => {
            eprintln!("cleatfold: nothing to do; see --help");
            return ExitCode::from(2);
        }
    };
    let level = match settings::log_level() {
        Ok(level) => level,
        Err(error) => return fail(&error),
    };
    let settings = match settings::read(path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    let operator =
        match operator.as_deref().map(operator_settings::OperatorSettings::read).transpose() {
            Ok(operator) => operator.unwrap_or_default(),
            Err(error) => return fail(&error),
        };
    if !serve {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    // Clients often drop connections; warp's own log lines about that would bury the controller's.
    let filter = Targets::new().with_default(level).with_target("warp", LevelFilter::OFF);
    let log_output = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time();
    tracing_subscriber::registry().with(log_output.with_filter(filter)).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match tokio::task::LocalSet::new().block_on(&runtime, actor::serve(settings, operator)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

/// Prints an error and returns the exit code for failure.
fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("cleatfold: {error}");
    ExitCode::FAILURE
}
