//! Controller mesh: one connection from each controller to each of its peers, carrying
//! length-prefixed bitcode messages. Messages are only hints, so those that cannot be sent at once
//! are dropped.

use bytes::Bytes;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::ControllerId;
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a message between controllers. The largest messages grow with the deployment:
/// the images on all machines of a pool, and the pools of all waiting jobs. A larger message would
/// close the connection and lose all other messages in flight.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Connects to one peer, reconnecting on failure, and sends it the messages from `queue`. Messages
/// queued while disconnected are dropped. Returns once all senders of `queue` are dropped.
pub async fn send_to_peer(
    own_id: ControllerId,
    endpoint: String,
    mut queue: mpsc::Receiver<Bytes>,
) {
    loop {
        let connected = timeout(Duration::from_secs(1), TcpStream::connect(&endpoint)).await;
        if let Ok(Ok(stream)) = connected {
            while queue.try_recv().is_ok() {}
            let mut framed = framed(stream);
            let hello = Bytes::copy_from_slice(own_id.as_str().as_bytes());
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

/// Encodes a message as the payload of one frame.
pub fn encode(message: &Message) -> Bytes {
    Bytes::from(bitcode::encode(message))
}

/// Accepts connections from all peers and passes every received message to `on_message`.
pub async fn listen(
    listener: TcpListener,
    on_message: impl Fn(ControllerId, Message) + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let on_message = on_message.clone();
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
                    Ok(message) => on_message(from.clone(), message),
                    Err(error) => tracing::debug!(%from, %error, "cannot decode mesh message"),
                }
            }
        });
    }
}
