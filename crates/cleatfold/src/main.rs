//! The controller's program.

mod actor;
mod serve;
mod settings;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "cleatfold", version, about = "A cluster scheduler")]
struct Cli {
    /// Serve with this settings file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and exit.
    Check {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (path, serve) = match (&cli.config, &cli.command) {
        (_, Some(Command::Check { config })) => (config, false),
        (Some(config), None) => (config, true),
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
    if !serve {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match tokio::task::LocalSet::new().block_on(&runtime, actor::serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("cleatfold: {error}");
    ExitCode::FAILURE
}
