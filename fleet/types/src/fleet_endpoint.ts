/** Address and port at which a daemon receives datagrams and link connections of other daemons. */
export interface FleetEndpoint {
  readonly address: string;
  readonly fleetPort: number;
}
