//! Benchmarks routing, load and planning, and measures how costs grow with the size of the fleet.

mod client;
mod load;
mod nodes;
mod options;
mod overlay;
mod plan;
mod replay;
mod route;
mod sample;
mod slopes;
mod target;

use std::process::ExitCode;

use jackdaw_core::errors::Result;
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
        Command::Load => return exit_code(load::run(&options)),
        Command::Nodes => return exit_code(nodes::run()),
    }
    ExitCode::SUCCESS
}

fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jackdaw-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
