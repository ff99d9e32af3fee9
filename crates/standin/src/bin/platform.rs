//! Runs the stand-in for the platform.

use standin::platform;

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let options = platform::options().run();
    match platform::bind(&options).await {
        Ok(server) => standin::server::run(server).await,
        Err(e) => {
            eprintln!("{e}");
            std::process::ExitCode::FAILURE
        }
    }
}
