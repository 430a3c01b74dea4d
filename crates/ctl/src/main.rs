//! The operators' command-line tool.

mod args;
mod client;
mod error;
mod note;
mod output;
mod run;
mod table;
mod timeline;

use std::process::ExitCode;

use ntex::rt::{DefaultRuntime, System};

use args::{Args, Parsed};

fn main() -> ExitCode {
    let args = match Args::parse(lexopt::Parser::from_env()) {
        Ok(Parsed::Run(args)) => args,
        Ok(Parsed::Help) => {
            println!("{}", args::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("jackdawctl: {error}\n\n{}", args::HELP);
            return ExitCode::from(error::EXIT_INPUT);
        }
    };
    let result = System::new("jackdawctl", DefaultRuntime).block_on(run::run(args));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jackdawctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
