// Keeps a page current: asks for its main part again, and puts it in place. While somebody types or a page is
// not looked at nothing is asked; when the ingress does not answer the page says that it is old.
"use strict";
(() => {
  const main = document.querySelector("main[data-live]");
  if (!main) return;
  const every = Number(main.dataset.live), stale = document.getElementById("stale");
  const busy = () => document.hidden || main.contains(document.activeElement) && document.activeElement !== document.body;
  async function look() {
    if (!busy()) {
      try {
        const url = new URL(location.href);
        url.searchParams.set("fragment", "1");
        const answer = await fetch(url, { credentials: "same-origin", signal: AbortSignal.timeout(10000) });
        if (answer.status === 401) { location.reload(); return; }
        if (!answer.ok) throw new Error(answer.status);
        const text = await answer.text();
        if (!busy()) main.replaceChildren(...new DOMParser().parseFromString(text, "text/html").body.childNodes);
        stale.hidden = true;
      } catch { stale.hidden = false; }
    }
    setTimeout(look, every);
  }
  setTimeout(look, every);
})();
