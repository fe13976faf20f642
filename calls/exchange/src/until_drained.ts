import type {Socket} from 'node:net';

/** Waits until a socket accepts more data or is closed. */
export function untilDrained(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      socket.off('drain', done);
      socket.off('close', done);
      resolve();
    };
    socket.on('drain', done);
    socket.on('close', done);
  });
}
