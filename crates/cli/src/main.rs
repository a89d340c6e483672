//! `jaystand`, the operators' tool.

fn main() -> std::process::ExitCode {
    jaystand_cli::run().into()
}
