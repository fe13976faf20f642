import type {CrashMarks, InFlightRequest} from '@carobseam/calls.crash_marks';
import type {Logger} from '@carobseam/core.logger';
import type {Clock, RandomSource, Timer} from '@carobseam/core.types';
import type {MarkNotice} from './mark_notice.js';

const COLLECT_MS = 30; // the marks and completions of a moment go out together
const RESEND_MS = 400; // a relay that restarts or is short of processor time answers within this time
const MAX_SENDS = 3;
const FORWARDERS = 2; // in each other data centre; one of them may be down
const START_PEERS = 3; // asked by a relay that starts; one of them may be starting too

/** Control addresses of other relays. */
export interface RelayAddresses {
  dataCentre: readonly string[];
  /** Those of the other data centres, a list for each. */
  others: ReadonlyArray<readonly string[]>;
}

/** Options of `CrashMarkExchange`. */
export interface CrashMarkExchangeOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  marks: CrashMarks;
  relays: () => RelayAddresses;
  send: (address: string, notice: MarkNotice) => Promise<void>;
  fetch: (address: string) => Promise<MarkNotice>;
}

/**
 * Spreads crash marks to the relays of all data centres. Nothing is sent while
 * no worker crashes.
 */
export class CrashMarkExchange {
  readonly #options: CrashMarkExchangeOptions;
  #pending: Pick<MarkNotice, 'marks' | 'cleared'> = {marks: [], cleared: []};
  #sendTimer?: Timer;
  #isClosed = false;

  constructor(options: CrashMarkExchangeOptions) {
    this.#options = options;
  }

  /** Fetches the marks of other relays, after a start. */
  async start(): Promise<void> {
    const {relays, random, fetch, marks, logger} = this.#options;
    const addresses = [...relays().dataCentre];
    for (let asked = 0; asked < START_PEERS && addresses.length > 0; asked++) {
      const index = random.nextInt(addresses.length);
      const [address] = addresses.splice(index, 1);
      try {
        const notice = await fetch(address!);
        notice.marks.forEach(mark => marks.add(mark));
        return;
      } catch (error) {
        logger.info('crash_marks_not_fetched', {address, cause: String(error)});
      }
    }
  }

  /** All marks that this relay knows, for a relay that starts. */
  list(): MarkNotice {
    const marks = this.#options.marks.list();
    return {marks, cleared: [], isForDataCentre: false};
  }

  /** Records a crash of the local worker and tells the other relays. */
  recordCrash(crashId: string, requests: readonly InFlightRequest[]): void {
    const added = this.#options.marks.recordCrash(crashId, requests);
    this.#pending.marks.push(...added);
    this.#scheduleSend();
  }

  /** Records that the local worker has completed a request. */
  recordCompletion(fingerprint: string): void {
    if (this.#options.marks.clear(fingerprint)) {
      this.#pending.cleared.push(fingerprint);
      this.#scheduleSend();
    }
  }

  /** Takes the notice of another relay. */
  receive(notice: MarkNotice): void {
    const {marks, relays} = this.#options;
    notice.marks.forEach(mark => marks.add(mark));
    notice.cleared.forEach(fingerprint => marks.clear(fingerprint));
    if (notice.isForDataCentre) {
      this.#sendAll(relays().dataCentre, {...notice, isForDataCentre: false});
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#sendTimer?.cancel();
  }

  #scheduleSend(): void {
    if (!this.#isClosed) {
      this.#sendTimer ??= this.#options.clock.setTimer(COLLECT_MS, () =>
        this.#sendPending(),
      );
    }
  }

  #sendPending(): void {
    this.#sendTimer = undefined;
    const {dataCentre, others} = this.#options.relays();
    const pending = this.#pending;
    this.#pending = {marks: [], cleared: []};
    this.#sendAll(dataCentre, {...pending, isForDataCentre: false});
    for (const addresses of others) {
      const forwarders = this.#pick(addresses, FORWARDERS);
      this.#sendAll(forwarders, {...pending, isForDataCentre: true});
    }
  }

  #sendAll(addresses: readonly string[], notice: MarkNotice): void {
    addresses.forEach(address => void this.#send(address, notice, 1));
  }

  async #send(
    address: string,
    notice: MarkNotice,
    sends: number,
  ): Promise<void> {
    const {send, clock, logger} = this.#options;
    try {
      await send(address, notice);
    } catch (error) {
      if (sends < MAX_SENDS && !this.#isClosed) {
        clock.setTimer(
          RESEND_MS,
          () => void this.#send(address, notice, sends + 1),
        );
        return;
      }
      logger.warn('crash_marks_not_sent', {address, cause: String(error)});
    }
  }

  #pick(addresses: readonly string[], count: number): string[] {
    const left = [...addresses];
    const picked: string[] = [];
    while (picked.length < count && left.length > 0) {
      picked.push(...left.splice(this.#options.random.nextInt(left.length), 1));
    }
    return picked;
  }
}
