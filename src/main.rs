//! The `bilberrypost` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    bilberrypost::cmd::main()
}
