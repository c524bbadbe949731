//! Builds the C library that injects system call faults; tests preload it into the processes under test.

use std::env;
use std::path::PathBuf;
use std::process::{Command, ExitCode, ExitStatus};

const SOURCE: &str = "native/system_faults.c";
const LIBRARY: &str = "libsystem_faults.so";

fn main() -> ExitCode {
    println!("cargo::rerun-if-changed={SOURCE}");
    let library = PathBuf::from(env::var_os("OUT_DIR").unwrap_or_default()).join(LIBRARY);
    let mut compiler: Command = cc::Build::new().get_compiler().to_command();
    let built = compiler
        .args(["-shared", "-fPIC", "-Wall", "-Wextra", SOURCE, "-o"])
        .arg(&library)
        .status();
    match built {
        Ok(status) if status.success() => ExitCode::SUCCESS,
        failed => report_failure(&failed),
    }
}

fn report_failure(result: &std::io::Result<ExitStatus>) -> ExitCode {
    println!("cargo::error=the C compiler could not build {SOURCE}: {result:?}");
    ExitCode::FAILURE
}
