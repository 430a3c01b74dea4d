//! Measures jackdawstair: routing, load, planning and the slopes of the capacity page.

mod client;
mod load;
mod options;
mod overlay;
mod plan;
mod replay;
mod route;
mod sample;
mod slopes;
mod target;

use std::process::ExitCode;

use options::{Command, Options};

fn main() -> ExitCode {
    let options = match Options::parse() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("jackdaw-bench: {error}\n{}", options::USAGE);
            return ExitCode::from(2);
        }
    };
    match options.command {
        Command::Plan => plan::run(&options),
        Command::Route => route::run(),
        Command::Slopes => slopes::run(),
        Command::Load => {
            if let Err(error) = load::run(&options) {
                eprintln!("jackdaw-bench: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
