import type {Metrics} from '@carobseam/core.metrics';
import type {Clock, Timer} from '@carobseam/core.types';
import type {Duplex} from 'node:stream';

/** A TCP socket with its byte counts. */
export type CountedSocket = Duplex & {
  readonly bytesRead: number;
  readonly bytesWritten: number;
};

/** Bytes of a socket that were added to the metric already. */
interface RecordedBytes {
  inBytes: number;
  outBytes: number;
}

const SAMPLE_INTERVAL_MS = 1000;

/**
 * Adds the bytes of link sockets to the metric of control traffic each second.
 */
export class LinkByteCounter {
  readonly #metrics: Metrics;
  readonly #clock: Clock;
  readonly #recordedBySocket = new Map<CountedSocket, RecordedBytes>();
  #timer?: Timer;

  constructor(options: {metrics: Metrics; clock: Clock}) {
    this.#metrics = options.metrics;
    this.#clock = options.clock;
  }

  /** Counts the bytes of a socket until it closes. */
  track(socket: CountedSocket): void {
    this.#recordedBySocket.set(socket, {inBytes: 0, outBytes: 0});
    socket.once('close', () => {
      this.#recordNewBytes(socket);
      this.#recordedBySocket.delete(socket);
    });
    this.#schedule();
  }

  close(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    for (const socket of this.#recordedBySocket.keys()) {
      this.#recordNewBytes(socket);
    }
  }

  #schedule(): void {
    this.#timer ??= this.#clock.setTimer(SAMPLE_INTERVAL_MS, () => {
      this.#timer = undefined;
      for (const socket of this.#recordedBySocket.keys()) {
        this.#recordNewBytes(socket);
      }
      if (this.#recordedBySocket.size > 0) {
        this.#schedule();
      }
    });
  }

  #recordNewBytes(socket: CountedSocket): void {
    const recorded = this.#recordedBySocket.get(socket);
    if (!recorded) {
      return;
    }
    this.#addToMetric('in', socket.bytesRead - recorded.inBytes);
    this.#addToMetric('out', socket.bytesWritten - recorded.outBytes);
    recorded.inBytes = socket.bytesRead;
    recorded.outBytes = socket.bytesWritten;
  }

  #addToMetric(direction: string, bytes: number): void {
    if (bytes > 0) {
      const labels = {direction, kind: 'link'};
      this.#metrics.increment('carobseam_control_bytes_total', labels, bytes);
    }
  }
}
