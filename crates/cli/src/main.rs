//! The fescuelead command-line tool.

use std::{io, process::ExitCode};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::new().filter("FESCUELEAD_LOG")).init();
    let token = std::env::var("FESCUELEAD_TOKEN").ok();
    fescuelead_cli::run(std::env::args_os(), token, &mut io::stdout(), &mut io::stderr()).into()
}
