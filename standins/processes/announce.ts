import * as fs from 'node:fs';
import type * as http from 'node:http';
import type * as net from 'node:net';

/** Listens on the address in the HOST and PORT variables and prints it as a line of JSON. */
export function announceListening(server: http.Server): void {
  const host = process.env['HOST'] ?? '127.0.0.1';
  const port = Number(process.env['PORT'] ?? 0);
  server.listen(port, host, () => {
    const {port: actualPort} = server.address() as net.AddressInfo;
    writeLine({address: `${host}:${actualPort}`});
  });
}

/** Prints a line of JSON before it returns, so that the line outlives a crash. */
export function writeLine(value: object): void {
  fs.writeSync(1, JSON.stringify(value) + '\n');
}
