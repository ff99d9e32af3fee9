//! Network paths that can be lost.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use standin::users::{Path, PathState};
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};

/// Waits until the path accepts connections, or until it refuses them.
async fn wait_until_accepting(address: SocketAddr, accepting: bool) {
    let waiting = async {
        while TcpStream::connect(address).await.is_ok() != accepting {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    waited.expect("the path changes its state");
}

/// Guards against another listener that gets the port of a lost path and takes its connections.
#[test_case(PathState::Reset)]
#[test_case(PathState::Refused)]
#[tokio::test]
async fn a_path_that_refuses_connections_keeps_its_port(state: PathState) {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let path = Path::open(server.local_addr().unwrap()).await.unwrap();
    path.set(state);
    wait_until_accepting(path.address(), false).await;
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    assert!(other.bind(&path.address().into()).is_err());
    path.set(PathState::Sound);
    wait_until_accepting(path.address(), true).await;
}
