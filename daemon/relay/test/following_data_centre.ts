import {
  MeshState,
  type MeshConfig,
  type MeshWorker,
  type RouteName,
  type WorkerId,
} from '@carobseam/config.mesh';
import {SeededRandom, SystemClock} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import type {
  ConfigVersion,
  DataCentreName,
  ServiceName,
} from '@carobseam/core.types';
import {
  ChangeFeed,
  FeedClient,
  FeedServer,
  ReaderFollower,
  SourceFollower,
} from '@carobseam/fleet.follower';
import {StoreClient, StoreSource} from '@carobseam/platform.adapter';
import {StoreStandIn} from '@carobseam/platform.store_stand_in';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {ThinLink, ThinLinkProxy} from './thin_link.js';

const HOST = '127.0.0.1';
const CONTROL_PORT = 9;
const LOCAL = 'wien' as DataCentreName;
const REMOTE = 'linz' as DataCentreName;
const CONTACT_MS = 3000;
const CHECK_INTERVAL_MS = 20;

/** Options of `FollowingDataCentre`. */
export interface FollowingDataCentreOptions {
  wideCount: number;
  thinCount: number;
  /** Relays with wide links in another data centre; none by default. */
  remoteCount?: number;
  /** Bandwidth of each thin link, in bytes per second. */
  thinBytesPerS: number;
}

/** One relay's way to follow the configuration, without its requests. */
interface FollowingRelay {
  state: MeshState;
  link: ThinLink;
  readerFollower: ReaderFollower;
  /** Ends the relay as an exit of its process does. */
  close(): void;
}

/**
 * The relays of a data centre with a store, over real connections. Relays with
 * wide links have the lowest addresses, those of another data centre the highest.
 */
export class FollowingDataCentre {
  readonly store = new StoreStandIn();
  readonly #options: FollowingDataCentreOptions;
  readonly #relays: FollowingRelay[] = [];
  readonly #proxies: ThinLinkProxy[] = [];
  /** Real address of each relay's feed server, by its control address. */
  readonly #feedAddresses = new Map<string, string>();
  #storeAddress = '';

  constructor(options: FollowingDataCentreOptions) {
    this.#options = options;
  }

  /** Starts the store and all relays, which then read the configuration. */
  async start(config: MeshConfig): Promise<void> {
    this.#storeAddress = await this.store.listen(HOST);
    const {wideCount, thinCount, remoteCount = 0} = this.#options;
    const localCount = wideCount + thinCount;
    const count = localCount + remoteCount;
    for (let relay = 0; relay < count; relay++) {
      const dataCentre = relay < localCount ? LOCAL : REMOTE;
      this.store.putWorker(createWorker(relay, dataCentre));
    }
    this.store.putConfig(config);
    for (let relay = 0; relay < count; relay++) {
      this.#relays.push(await this.#startRelay(relay));
    }
  }

  /** Resolves when every thin relay has a version and follows readers. */
  async untilFollowing(version: number, timeoutMs: number): Promise<void> {
    const isFollowing = ({state, readerFollower}: FollowingRelay) =>
      state.config?.version === version && readerFollower.isFresh;
    const deadlineMs = performance.now() + timeoutMs;
    while (!this.#thinRelays().every(isFollowing)) {
      if (performance.now() > deadlineMs) {
        throw new Error(`not every relay follows after ${timeoutMs} ms`);
      }
      await pause(CHECK_INTERVAL_MS);
    }
  }

  /** Changes the bandwidth that other traffic leaves on each thin link. */
  setThinBytesPerS(bytesPerS: number): void {
    this.#thinRelays().forEach(({link}) => (link.bytesPerS = bytesPerS));
  }

  /** Cuts the incoming direction of a relay's link for some time. */
  blockLink(relay: number, durationMs: number): void {
    this.#relays[relay]!.link.block(durationMs);
  }

  /** Bytes that each thin relay has received so far. */
  receivedBytes(): number[] {
    return this.#thinRelays().map(({link}) => link.receivedBytes);
  }

  /** The most bytes that a thin relay has received since an earlier count. */
  maxReceivedSince(beforeBytes: readonly number[]): number {
    return Math.max(
      ...this.receivedBytes().map(
        (bytes, relay) => bytes - beforeBytes[relay]!,
      ),
    );
  }

  /** Starts a relay again, without what it knew but with some of its peers as seeds. */
  async restartRelay(
    relay: number,
    seedRelays: readonly number[],
  ): Promise<void> {
    this.stopRelay(relay);
    const seeds = seedRelays.map(controlAddressOf);
    this.#relays[relay] = await this.#startRelay(relay, seeds);
  }

  /** Ends a relay's process. */
  stopRelay(relay: number): void {
    this.#relays[relay]!.close();
  }

  /**
   * Returns for each thin relay the time until it has a version, in ms;
   * Infinity for those that do not have it when the time is over.
   */
  async measureArrivalsMs(
    version: number,
    timeoutMs: number,
  ): Promise<number[]> {
    const startMs = performance.now();
    const arrivalsMs = this.#thinRelays().map(() => Infinity);
    for (let waitedMs = 0; waitedMs < timeoutMs;) {
      waitedMs = performance.now() - startMs;
      this.#thinRelays().forEach(({state}, index) => {
        if ((state.config?.version ?? 0) >= version) {
          arrivalsMs[index] = Math.min(arrivalsMs[index]!, waitedMs);
        }
      });
      if (arrivalsMs.every(arrivalMs => arrivalMs < Infinity)) {
        break;
      }
      await pause(CHECK_INTERVAL_MS);
    }
    return arrivalsMs;
  }

  async close(): Promise<void> {
    this.#relays.forEach(relay => relay.close());
    this.#proxies.forEach(proxy => proxy.close());
    await this.store.close();
  }

  #thinRelays(): FollowingRelay[] {
    const {wideCount, thinCount} = this.#options;
    return this.#relays.slice(wideCount, wideCount + thinCount);
  }

  #isThin(relay: number): boolean {
    const {wideCount, thinCount} = this.#options;
    return relay >= wideCount && relay < wideCount + thinCount;
  }

  async #startRelay(
    relay: number,
    seedAddresses: readonly string[] = [],
  ): Promise<FollowingRelay> {
    const clock = new SystemClock();
    const random = new SeededRandom(relay + 1);
    const isWide = !this.#isThin(relay);
    const {wideCount, thinCount} = this.#options;
    const ownDataCentre = relay < wideCount + thinCount ? LOCAL : REMOTE;
    const link = new ThinLink(isWide ? Infinity : this.#options.thinBytesPerS);
    const ownAddress = controlAddressOf(relay);
    const client = new FeedClient();
    const proxyAddresses = new Map<string, Promise<string>>();
    const connectThrough = (target: string) => {
      const address =
        proxyAddresses.get(target) ?? this.#openProxy(link, target);
      proxyAddresses.set(target, address);
      return address;
    };
    const fetchFeed: FeedClient['fetch'] = async (address, ...others) =>
      client.fetch(
        await connectThrough(this.#feedAddresses.get(address)!),
        ...others,
      );
    const state = new MeshState({
      clock,
      dataCentre: ownDataCentre,
      contactMs: CONTACT_MS,
      onApplied: () => feed.notifyStateChanged(),
    });
    const feed: ChangeFeed = new ChangeFeed({clock, random, state});
    const listPeers = (isLocal: boolean) =>
      [...state.workers()]
        .filter(worker => (worker.dataCentre === ownDataCentre) === isLocal)
        .map(({id}) => controlAddressOf(relayOf(id)))
        .filter(address => address !== ownAddress);
    const peerAddresses = () => listPeers(true);
    const readerFollower = new ReaderFollower({
      clock,
      state,
      logger: silentLogger,
      fetchFeed,
      canBeReader: isWide,
      ownAddress,
      peerAddresses,
      remotePeerAddresses: () => listPeers(false),
      random,
    });
    const sourceFollower = new SourceFollower({
      clock,
      random,
      source: new StoreSource({
        client: new StoreClient(await connectThrough(this.#storeAddress)),
        logger: silentLogger,
        decodesSupersededVersions: isWide,
      }),
      state,
      logger: silentLogger,
      peerAddresses: () => (state.config ? peerAddresses() : seedAddresses),
      fetchFeed,
      readers: readerFollower,
      hasLowBandwidthLink: !isWide,
      onContact: () => feed.recordSourceContact(),
    });
    const feedServer = new FeedServer({
      feed,
      role: () => ({
        isReader: readerFollower.isReader,
        readers: readerFollower.readers,
      }),
    });
    const server = http.createServer(
      (request, response) => void feedServer.handle(request, response),
    );
    await new Promise<void>(resolve => {
      server.listen(0, HOST, resolve);
    });
    const {port} = server.address() as AddressInfo;
    this.#feedAddresses.set(ownAddress, `${HOST}:${port}`);
    void sourceFollower.run();
    readerFollower.start();
    const close = () => {
      sourceFollower.close();
      readerFollower.close();
      client.close();
      server.close();
      server.closeAllConnections();
    };
    return {state, link, readerFollower, close};
  }

  async #openProxy(link: ThinLink, target: string): Promise<string> {
    const proxy = new ThinLinkProxy(link, target);
    this.#proxies.push(proxy);
    return proxy.listen();
  }
}

/** Creates a version with routes whose names and prefixes differ. */
export function createLargeConfig(
  version: number,
  routeCount: number,
): MeshConfig {
  const random = new SeededRandom(1);
  const createName = () => random.nextInt(2 ** 31 - 1).toString(36);
  return {
    version: version as ConfigVersion,
    routes: Array.from({length: routeCount}, () => ({
      name: `r-${createName()}` as RouteName,
      host: 'seno65.example',
      pathPrefix: `/${createName()}/`,
      isIdempotent: true,
      timeoutMs: 2000,
      targetLatencyMs: 600,
      rank: 2,
      maxAttempts: 2,
      shares: [{service: 'hintdesk' as ServiceName, weight: 1}],
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Size of a configuration as JSON; smaller than a full read of the source. */
export function wholeBytesOf(routeCount: number): number {
  return JSON.stringify(createLargeConfig(1, routeCount).routes).length;
}

function createWorker(relay: number, dataCentre: DataCentreName): MeshWorker {
  return {
    id: `i-${relay}` as WorkerId,
    service: 'hintdesk' as ServiceName,
    address: `10.1.0.${relay + 10}:80`,
    dataCentre,
    slots: 13,
    isLeaving: false,
    coldRemainingMs: 0,
    bornMs: 0,
  };
}

function relayOf(id: WorkerId): number {
  return Number(id.slice('i-'.length));
}

function controlAddressOf(relay: number): string {
  return `10.1.0.${relay + 10}:${CONTROL_PORT}`;
}
