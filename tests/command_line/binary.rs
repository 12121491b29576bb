use std::path;
use std::process;

/// Exit code and output of one run of the binary.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Returns the folder of the samples, which is the working folder of the binary.
pub(crate) fn samples() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("samples")
}

/// Runs the binary in the folder of the samples, with the client's environment variables unset.
pub(crate) fn run(args: &[&str]) -> Outcome {
    run_with(args, &[])
}

/// Like [`run`], with environment variables.
pub(crate) fn run_with(args: &[&str], variables: &[(&str, &str)]) -> Outcome {
    let output = process::Command::new(env!("CARGO_BIN_EXE_comfreymill"))
        .args(args)
        .env_remove("COMFREYMILL_OPERATORS")
        .env_remove("COMFREYMILL_TOKEN_FILE")
        .envs(variables.iter().copied())
        .current_dir(samples())
        .output()
        .expect("the binary runs");
    Outcome {
        code: output.status.code().expect("an exit code"),
        stdout: String::from_utf8(output.stdout).expect("UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}
