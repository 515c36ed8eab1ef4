import * as fs from 'node:fs';
import type * as http from 'node:http';
import type * as net from 'node:net';

/** Listens on the address in the HOST and PORT variables and prints the actual address as a line of JSON. */
export function listenAndPrintAddress(server: http.Server): void {
  const host = process.env['HOST'] ?? '127.0.0.1';
  const port = Number(process.env['PORT'] ?? 0);
  server.listen(port, host, () => {
    const {port: actualPort} = server.address() as net.AddressInfo;
    printJsonLine({address: `${host}:${actualPort}`});
  });
}

/** Prints a line of JSON synchronously, so that the line is not lost when the process crashes afterwards. */
export function printJsonLine(value: object): void {
  fs.writeSync(1, JSON.stringify(value) + '\n');
}
