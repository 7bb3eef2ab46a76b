//! The operators' tool: parses the command line, runs the command and prints
//! its output.

use std::process::ExitCode;

use godwitpost_operator::cli;
use godwitpost_operator::error::{EXIT_FAILED, EXIT_USAGE};
use godwitpost_operator::run::{Output, run};

fn main() -> ExitCode {
    let command = cli::parse(std::env::args_os());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let code = match runtime {
        Ok(runtime) => print(runtime.block_on(run(command))),
        Err(error) => {
            eprintln!("can't start: {error}");
            EXIT_FAILED
        }
    };
    ExitCode::from(code)
}

fn print(result: Result<Output, godwitpost_operator::error::Error>) -> u8 {
    match result {
        Ok(Output { text, code }) if code == EXIT_USAGE => {
            eprint!("{text}");
            code
        }
        Ok(Output { text, code }) => {
            print!("{text}");
            code
        }
        Err(error) => {
            eprintln!("{error}");
            error.code()
        }
    }
}
