import type {RandomSource, ServiceName} from '@carobseam/core.types';
import type {MeshConfig, MeshRoute} from './mesh_config.js';

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  readonly #byHost = new Map<string, Map<string, MeshRoute>>();
  readonly #services = new Set<ServiceName>();

  constructor(config: MeshConfig) {
    for (const route of config.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#byHost.get(host) ?? new Map<string, MeshRoute>();
      prefixes.set(route.pathPrefix, route);
      this.#byHost.set(host, prefixes);
      route.shares.forEach(({service}) => this.#services.add(service));
    }
  }

  /** Whether a route sends requests to a service. */
  namesService(service: ServiceName): boolean {
    return this.#services.has(service);
  }

  /**
   * Returns the route with the longest matching path prefix.
   *
   * @param hostHeader value of the Host header, with or without a port.
   * @param url path of the request, with or without a query.
   */
  find(hostHeader: string, url: string): MeshRoute | undefined {
    const prefixes = this.#byHost.get(hostNameOf(hostHeader));
    if (!prefixes) {
      return undefined;
    }
    const queryAt = url.indexOf('?');
    const path = queryAt < 0 ? url : url.slice(0, queryAt);
    for (let searchEnd = path.length; searchEnd > 0;) {
      const slashAt = path.lastIndexOf('/', searchEnd - 1);
      if (slashAt < 0) {
        return undefined;
      }
      const route = prefixes.get(path.slice(0, slashAt + 1));
      if (route) {
        return route;
      }
      searchEnd = slashAt;
    }
    return undefined;
  }
}

/** Picks one of a route's services at random, in proportion to their weights. */
export function pickService(
  route: MeshRoute,
  random: RandomSource,
): ServiceName | undefined {
  const [firstShare] = route.shares;
  if (route.shares.length <= 1) {
    return firstShare?.service;
  }
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let remainingWeight = random.nextFloat() * total;
  for (const share of route.shares) {
    remainingWeight -= share.weight;
    if (remainingWeight < 0) {
      return share.service;
    }
  }
  return firstShare?.service;
}

function hostNameOf(hostHeader: string): string {
  const colonAt = hostHeader.indexOf(':');
  const name = colonAt < 0 ? hostHeader : hostHeader.slice(0, colonAt);
  return name.toLowerCase();
}
