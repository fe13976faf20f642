import type {Route} from '@carobseam/config.types';

/** Finds the route of a request: exact paths first, then the longest prefix. */
export class RouteIndex {
  readonly #exact = new Map<string, Route>();
  readonly #prefixes: Route[] = [];

  constructor(routes: Iterable<Route>) {
    for (const route of routes) {
      if (route.path.endsWith('*')) {
        this.#prefixes.push(route);
      } else {
        this.#exact.set(routeKey(route.method, route.path), route);
      }
    }
    this.#prefixes.sort(comparePrefixes);
  }

  /** @param path path of the request without its query. */
  find(method: string, path: string): Route | undefined {
    return (
      this.#exact.get(routeKey(method, path)) ??
      this.#exact.get(routeKey('ANY', path)) ??
      this.#prefixes.find(route => matchesPrefix(route, method, path))
    );
  }
}

function routeKey(method: string, path: string): string {
  return `${method} ${path}`;
}

function comparePrefixes(a: Route, b: Route): number {
  const byLength = b.path.length - a.path.length;
  const byMethod = Number(a.method === 'ANY') - Number(b.method === 'ANY');
  return byLength || byMethod || (a.name < b.name ? -1 : 1);
}

function matchesPrefix(route: Route, method: string, path: string): boolean {
  const methodMatches = route.method === 'ANY' || route.method === method;
  return methodMatches && path.startsWith(route.path.slice(0, -1));
}
