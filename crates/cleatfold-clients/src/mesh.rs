//! The mesh: one connection from each controller to each other one, length-prefixed bitcode.
//! Everything on it is a hint, so what cannot be sent now is dropped rather than kept.

use bytes::Bytes;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::ControllerId;
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The longest message between controllers. The longest ones grow with the deployment: the images
/// on all machines of a pool, and the pools of all waiting jobs. A message above it would end the
/// connection, and with it whatever else was on its way.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Sends to one peer for ever.
pub async fn dial(me: ControllerId, endpoint: String, mut queue: mpsc::Receiver<Bytes>) {
    loop {
        let connected = timeout(Duration::from_secs(1), TcpStream::connect(&endpoint)).await;
        if let Ok(Ok(stream)) = connected {
            while queue.try_recv().is_ok() {}
            let mut framed = framed(stream);
            let hello = Bytes::copy_from_slice(me.as_str().as_bytes());
            let mut next = Some(hello);
            while let Some(frame) = next {
                let sent = timeout(Duration::from_secs(2), framed.send(frame)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    break;
                }
                next = queue.recv().await;
                if next.is_none() {
                    return;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// A message as the payload of one frame.
pub fn encode(message: &Message) -> Bytes {
    Bytes::from(bitcode::encode(message))
}

/// Receives from all peers.
pub async fn listen(listener: TcpListener, hear: impl Fn(ControllerId, Message) + Clone + 'static) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let hear = hear.clone();
        tokio::task::spawn_local(async move {
            let mut framed = framed(stream);
            let Some(Ok(hello)) = framed.next().await else {
                return;
            };
            let Ok(from) = std::str::from_utf8(&hello) else {
                return;
            };
            let from = ControllerId::new(from);
            while let Some(Ok(frame)) = framed.next().await {
                match bitcode::decode::<Message>(&frame) {
                    Ok(message) => hear(from.clone(), message),
                    Err(error) => tracing::debug!(%from, %error, "unreadable message"),
                }
            }
        });
    }
}
