//! Messages between controllers over real connections on loopback.

use cleatfold_clients::mesh::{encode, listen, send_to_peer, MAX_FRAME_BYTES};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::ControllerId;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The message with which a new owner of a pool announces the images on all of its machines.
fn images_of(machines: usize) -> Message {
    let images: Vec<(String, f64)> =
        (0..20).map(|n| (format!("img-of-some-team-{n:02}"), 1.8)).collect();
    let machines = (0..machines).map(|n| (format!("vm-{n:06}"), images.clone())).collect();
    Message::Images { machines }
}

#[tokio::test(flavor = "current_thread")]
async fn images_of_4500_machines_fit_one_frame_and_keep_connection_open() {
    let local = tokio::task::LocalSet::new();
    let received = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = listener.local_addr().unwrap().to_string();
        let (received_sender, mut received_messages) = mpsc::unbounded_channel();
        tokio::task::spawn_local(listen(listener, move |from, message| {
            let _ = received_sender.send((from, message));
        }));
        let (queue, frames) = mpsc::channel(4);
        tokio::task::spawn_local(send_to_peer(ControllerId::new("n1"), endpoint, frames));
        // Frames queued before the connection is established are dropped as outdated.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let message = images_of(4_500);
        let frame = encode(&message);
        assert!(frame.len() < MAX_FRAME_BYTES, "{} bytes", frame.len());
        queue.send(frame).await.unwrap();
        queue.send(encode(&Message::Changed)).await.unwrap();
        let mut received = Vec::new();
        for _ in 0..2 {
            let next =
                tokio::time::timeout(Duration::from_secs(10), received_messages.recv()).await;
            received.push(next.expect("a message within 10 s").expect("listener is running"));
        }
        assert_eq!(received[0], (ControllerId::new("n1"), message));
        received
    });
    let received = received.await;
    assert_eq!(received[1], (ControllerId::new("n1"), Message::Changed));
}
