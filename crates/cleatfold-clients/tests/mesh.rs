//! Messages between controllers over real connections on loopback.

use cleatfold_clients::mesh::{dial, encode, listen, MAX_FRAME_BYTES};
use cleatfold_wire::mesh::Message;
use cleatfold_wire::ControllerId;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The images on all machines of a pool, as its owner tells them after it has taken the pool over.
fn images_of(machines: usize) -> Message {
    let images: Vec<(String, f64)> =
        (0..20).map(|n| (format!("img-of-some-team-{n:02}"), 1.8)).collect();
    let machines = (0..machines).map(|n| (format!("vm-{n:06}"), images.clone())).collect();
    Message::Images { machines }
}

#[tokio::test(flavor = "current_thread")]
async fn a_message_about_4500_machines_arrives_whole_and_the_next_one_after_it() {
    let local = tokio::task::LocalSet::new();
    let received = local.run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = listener.local_addr().unwrap().to_string();
        let (arrivals, mut arrived) = mpsc::unbounded_channel();
        tokio::task::spawn_local(listen(listener, move |from, message| {
            let _ = arrivals.send((from, message));
        }));
        let (queue, frames) = mpsc::channel(4);
        tokio::task::spawn_local(dial(ControllerId::new("n1"), endpoint, frames));
        // What is queued before the connection stands is dropped as old.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let message = images_of(4_500);
        let frame = encode(&message);
        assert!(frame.len() < MAX_FRAME_BYTES, "{} bytes", frame.len());
        queue.send(frame).await.unwrap();
        queue.send(encode(&Message::Changed)).await.unwrap();
        let mut received = Vec::new();
        for _ in 0..2 {
            let next = tokio::time::timeout(Duration::from_secs(10), arrived.recv()).await;
            received.push(next.expect("a message within 10 s").expect("the listener stands"));
        }
        assert_eq!(received[0], (ControllerId::new("n1"), message));
        received
    });
    let received = received.await;
    assert_eq!(received[1], (ControllerId::new("n1"), Message::Changed));
}
