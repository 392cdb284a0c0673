import test from "ava";
import { RouteTable } from "../routeTable.ts";
import { route } from "./directFixture.ts";

const HOST = "shop.example";

test("the route with the longest matching prefix is found", t => {
    const table = new RouteTable([
        { ...route("short"), host: HOST, prefix: "/a/" },
        { ...route("long"), host: HOST, prefix: "/a/b/c/" },
    ]);
    const find = (path: string): string | undefined => table.find(HOST, path)?.name;
    t.deepEqual(
        ["/a/", "/a/x", "/a/b/", "/a/b/c", "/a/b/c/", "/a/b/c/d/e/f", "/a/b/c?/x/", "/a", "/b/a/", "/?/a/"]
            .map(find),
        ["short", "short", "short", "short", "long", "long", "short", undefined, undefined, undefined],
    );
});

// Guards against a look-up whose time grows with the square of the length of a path.
test("only prefixes that a route can have are looked up", t => {
    let compared = 0;
    class CountedString extends String {
        public override slice(start?: number, end?: number): string {
            compared++;
            return super.slice(start, end);
        }
    }
    const table = new RouteTable([{ ...route("short"), host: HOST, prefix: "/a/b/" }]);
    t.is(table.find(HOST, new CountedString("/".repeat(60_000)) as string), undefined);
    t.true(compared <= 5, `${compared}`);
});
