//! Measures jackdawstair: routing, load, planning and the slopes of the capacity page.

mod options;
mod plan;
mod replay;

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
    }
    ExitCode::SUCCESS
}
