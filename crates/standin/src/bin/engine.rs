//! Runs the stand-in for a model engine.

use standin::engine;

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let options = engine::options().run();
    match engine::bind(&options).await {
        Ok(server) => standin::server::run(server).await,
        Err(e) => {
            eprintln!("{e}");
            std::process::ExitCode::FAILURE
        }
    }
}
