//! Runs the stand-in for a plain service.

use standin::plain;

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let options = plain::options().run();
    match plain::bind(&options).await {
        Ok(server) => standin::server::run(server).await,
        Err(e) => {
            eprintln!("{e}");
            std::process::ExitCode::FAILURE
        }
    }
}
