//! Authentication of peers: the shared secret is checked before any body is read.

use std::future::{Ready, ready};
use std::sync::Arc;
use std::task::{Context, Poll};

use base::secret::Secret;
use futures_util::future::Either;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};
use tower::{Layer, Service};

const SCHEME: &str = "Bearer ";

/// Middleware that rejects requests without the peers' shared secret.
#[derive(Clone, Debug)]
pub struct PeerAuth {
    secret: Arc<Secret>,
}

impl PeerAuth {
    /// Accepts requests that carry `secret` as a bearer token.
    pub fn new(secret: Arc<Secret>) -> Self {
        Self { secret }
    }

    /// The `Authorization` header that a peer sends.
    ///
    /// # Errors
    ///
    /// Fails if the secret has characters that an HTTP header cannot carry.
    pub fn header(secret: &Secret) -> Result<HeaderMap, header::InvalidHeaderValue> {
        let mut value = HeaderValue::from_str(&format!("{SCHEME}{}", secret.expose()))?;
        value.set_sensitive(true);
        Ok(HeaderMap::from_iter([(header::AUTHORIZATION, value)]))
    }
}

impl<S> Layer<S> for PeerAuth {
    type Service = PeerAuthService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        PeerAuthService {
            secret: self.secret.clone(),
            inner,
        }
    }
}

#[derive(Clone, Debug)]
pub struct PeerAuthService<S> {
    secret: Arc<Secret>,
    inner: S,
}

impl<S, B> Service<HttpRequest<B>> for PeerAuthService<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse>,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Either<S::Future, Ready<Result<HttpResponse, S::Error>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: HttpRequest<B>) -> Self::Future {
        let presented = request.headers().get(header::AUTHORIZATION);
        let presented = presented.and_then(|value| value.to_str().ok()?.strip_prefix(SCHEME));
        if self.secret.matches(presented.unwrap_or_default()) {
            return Either::Left(self.inner.call(request));
        }
        Either::Right(ready(Ok(unauthorized())))
    }
}

fn unauthorized() -> HttpResponse {
    let mut response = HttpResponse::new(HttpBody::empty());
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}
